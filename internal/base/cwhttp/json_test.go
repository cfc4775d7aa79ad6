package cwhttp_test

import (
	"testing"

	"github.com/matryer/is"

	"currantward/internal/adapter/cwcodec"
	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwhttp"
)

// TestDecodeStrictReportsEveryInvalidKey asserts that one error lists all invalid keys of a document.
func TestDecodeStrictReportsEveryInvalidKey(t *testing.T) {
	cases := []struct {
		name string
		data string
		want string // empty if valid
	}{
		{"valid", `{"name":"a","deadline":"1s","demand":{"slots":1}}`, ""},
		{"null is the zero value", `{"name":"a","demand":null}`, ""},
		{"unknown keys at two depths", `{"colour":1,"demand":{"gpus":2}}`, "colour: unknown key; demand.gpus: unknown key"},
		{"two wrong types and an unknown key", `{"deadline":"soon","weight":"heavy","x":0}`,
			`deadline: "soon" is not a duration such as 1.5s; weight: string is not a valid float64; x: unknown key`},
		{"not an object", `[]`, "array is not a valid map"},
		{"broken syntax", `{"name":`, "malformed JSON: unexpected EOF"},
		{"two documents", `{} {}`, "malformed JSON: data after the document"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var p cwcodec.Profile
			err := cwhttp.DecodeStrict([]byte(c.data), &p)
			if c.want == "" {
				is.NoErr(err)
				return
			}
			is.Equal(cwfault.CodeOf(err), cwfault.Invalid)
			is.Equal(cwfault.MessageOf(err), c.want)
		})
	}
}
