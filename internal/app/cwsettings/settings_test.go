package cwsettings_test

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"currantward/internal/adapter/cwcodec"
	"currantward/internal/app/cwsettings"
	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwhttp"
)

const tokenHash = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

// TestParseReportsEveryInvalidKey asserts that one error names all invalid keys of a settings file and reveals no token hash.
func TestParseReportsEveryInvalidKey(t *testing.T) {
	const valid = `"host-id":"entry-1","data-centre":"cairo-1","platform":"127.0.0.1:9000"`
	cases := []struct {
		name     string
		data     string
		messages []string // empty for valid settings
	}{
		{"defaults", `{` + valid + `}`, nil},
		{"empty", `{}`, []string{"host-id: ", "data-centre: ", "platform: "}},
		{"unknown keys", `{` + valid + `,"colour":1,"operators":[{"name":"amal","role":"read","token-sha256":"` + tokenHash + `","pin":1}]}`,
			[]string{"colour: unknown key", "operators[0].pin: unknown key"}},
		{"wrong types, unknown keys and ranges at once", `{` + valid + `,"claim-ttl":"soon","max-body-bytes":"big","pool-size":1,"x":0}`,
			[]string{"claim-ttl: ", "max-body-bytes: ", "pool-size: 1 is not from 16 to 65536", "x: unknown key"}},
		{"out of range", `{` + valid + `,"totals-every":"2m","configuration-every":"3s","max-connections":0}`,
			[]string{"totals-every: 2m0s is not from", "configuration-every: 3s is not from 100ms to 2s", "max-connections: "}},
		{"silence within two exchanges", `{` + valid + `,"silence-limit":"900ms"}`, []string{"silence-limit: 900ms is below two periods"}},
		{"same address", `{` + valid + `,"listen-callers":"127.0.0.1:8081"}`, []string{"listen-operators: 127.0.0.1:8081 overlaps with 127.0.0.1:8081 of listen-callers"}},
		{"unspecified address overlaps", `{` + valid + `,"listen-peers":"0.0.0.0:8080"}`, []string{"listen-peers: 0.0.0.0:8080 overlaps"}},
		{"port 0 is free", `{` + valid + `,"listen-callers":"127.0.0.1:0","listen-operators":"127.0.0.1:0"}`, nil},
		{"host name for an address", `{` + valid + `,"listen-peers":"localhost:8082"}`, []string{`listen-peers: "localhost:8082" is not an IP address`}},
		{"platform without a port", `{"host-id":"a","data-centre":"b","platform":"10.0.0.1:0"}`, []string{"platform: port 0"}},
		{"tokens needed off this host", `{` + valid + `,"listen-operators":"10.0.0.1:8081"}`, []string{"operators: tokens are needed"}},
		{"tokens given", `{` + valid + `,"listen-operators":"10.0.0.1:8081","operators":[{"name":"amal","role":"write","token-sha256":"` + tokenHash + `"}]}`, nil},
		{"faulty operators", `{` + valid + `,"operators":[{"name":"A","role":"root","token-sha256":"12"},{"name":"b","role":"read","token-sha256":"` + tokenHash + `"},{"name":"b","role":"read","token-sha256":"` + tokenHash + `"}]}`,
			[]string{"operators[0].name: ", "operators[0].role: ", "operators[0].token-sha256: ", `operators[2].name: "b" stands twice`, "operators[2].token-sha256: the same token"}},
		{"zone and level", `{` + valid + `,"time-zone":"Africa/Nowhere","log-level":"loud"}`, []string{"time-zone: ", "log-level: "}},
		{"broken syntax", `{"host-id":`, []string{"unexpected end of JSON input"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := cwsettings.Parse([]byte(c.data))
			if len(c.messages) == 0 {
				is.NoErr(err)
				return
			}
			is.Equal(cwfault.CodeOf(err), cwfault.Invalid)
			for _, message := range c.messages {
				is.True(strings.Contains(cwfault.MessageOf(err), message)) // the message names the key
			}
			is.True(!strings.Contains(cwfault.MessageOf(err), tokenHash)) // the message does not reveal the hash of a token
		})
	}
}

// TestSettingsReference asserts that the table of the operators' page lists the keys and defaults of the code.
func TestSettingsReference(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile(filepath.Join("..", "..", "..", "docs", "OPERATIONS.md"))
	is.NoErr(err)
	document := reflect.ValueOf(cwsettings.Defaults())
	var want []string
	for n := range document.NumField() {
		want = append(want, fmt.Sprintf("| `%s` | %s |", document.Type().Field(n).Tag.Get("json"), defaultOf(document.Field(n).Interface())))
	}
	var got []string
	_, table, _ := strings.Cut(string(page), "<!-- settings -->")
	table, _, _ = strings.Cut(table, "<!-- end of settings -->")
	for line := range strings.SplitSeq(table, "\n") {
		if cells := strings.Split(line, "|"); len(cells) == 5 && strings.Contains(cells[1], "`") {
			got = append(got, "|"+cells[1]+"|"+cells[2]+"|")
		}
	}
	is.Equal(strings.Join(got, "\n"), strings.Join(want, "\n"))
}

// defaultOf returns a default value as the table of the operators' page shows it.
func defaultOf(value any) string {
	switch v := value.(type) {
	case string:
		if v == "" {
			return "needed"
		}
		return "`" + v + "`"
	case int:
		return fmt.Sprintf("`%d`", v)
	case cwcodec.Duration:
		return "`" + time.Duration(v).String() + "`"
	}
	return "none"
}

// TestExamplesAreValid guards against example files that the program no longer accepts.
func TestExamplesAreValid(t *testing.T) {
	for _, pattern := range []string{"entry-*.json", "configuration.json", "hosts.json", "requests.jsonl"} {
		is := is.New(t)
		files, err := filepath.Glob(filepath.Join("..", "..", "..", "examples", "*", pattern))
		is.NoErr(err)
		is.True(len(files) >= 2)
		for _, file := range files {
			t.Run(file, func(t *testing.T) { is.New(t).NoErr(validateExample(pattern, file)) })
		}
	}
}

// validateExample decodes an example file, whose kind its pattern tells, the way the program does.
func validateExample(pattern, file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	switch pattern {
	case "entry-*.json":
		_, err = cwsettings.Load(file)
	case "configuration.json":
		_, err = cwcodec.DecodeConfiguration(data)
	case "hosts.json":
		err = cwhttp.DecodeStrict(data, &cwcodec.HostsResponse{})
	default:
		for line := range strings.SplitSeq(strings.TrimSpace(string(data)), "\n") {
			if err = cwhttp.DecodeStrict([]byte(line), &cwcodec.Submission{}); err != nil {
				return err
			}
		}
	}
	return err
}
