package cwcodec_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"currantward/internal/adapter/cwcodec"
	"currantward/internal/base/cwfault"
	"currantward/internal/core/cwmodel"
)

// TestDecodeProfileReportsEveryFault checks that the error of an invalid profile names every fault, not only the first one.
func TestDecodeProfileReportsEveryFault(t *testing.T) {
	cases := []struct {
		name string
		body string
		want string
	}{
		{"all at once", `{"name":"A","kind":"x","class":"urgent","demand":{},"repeatable":true}`,
			`profile.name: "A" is not kebab case of 1 to 63 characters; profile.kind: unknown kind "x"; profile.demand: no resource is asked for`},
		{"request without a deadline", `{"name":"a","kind":"request","class":"urgent","demand":{"slots":1},"repeatable":true}`,
			`profile.deadline: a request needs a deadline`},
		{"attempts of what is not repeatable", `{"name":"a","kind":"batch","class":"batch","demand":{"slots":1},"repeatable":false,"max-attempts":2}`,
			`profile.max-attempts: 2 attempts for work that is not repeatable`},
		{"a share above its ceiling", `{"name":"a","kind":"batch","class":"batch","demand":{"slots":1},"repeatable":true,"guaranteed-share":0.5,"ceiling":0.4}`,
			`profile.guaranteed-share: 0.5 is above the ceiling 0.4`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := cwcodec.DecodeProfile([]byte(c.body))
			is.Equal(cwfault.CodeOf(err), cwfault.Invalid)
			is.Equal(cwfault.MessageOf(err), c.want)
		})
	}
}

// TestProfileDefaults checks the defaults of omitted keys, which depend on the kind and on whether the work is repeatable.
func TestProfileDefaults(t *testing.T) {
	cases := []struct {
		name     string
		body     string
		lease    time.Duration
		attempts int
	}{
		{"request", `{"name":"a","kind":"request","class":"urgent","deadline":"1s","demand":{"slots":1},"repeatable":true}`, 10 * time.Second, 3},
		{"batch", `{"name":"a","kind":"batch","class":"batch","demand":{"slots":1},"repeatable":true}`, 2 * time.Minute, 3},
		{"not repeatable", `{"name":"a","kind":"batch","class":"batch","demand":{"slots":1},"repeatable":false}`, 2 * time.Minute, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p, err := cwcodec.DecodeProfile([]byte(c.body))
			is.NoErr(err)
			is.Equal(p.Lease, c.lease)
			is.Equal(p.MaxAttempts, c.attempts)
		})
	}
}

// TestResourcesRoundTrip guards against a conversion of resources that loses a fraction of a processor or a unit of memory.
func TestResourcesRoundTrip(t *testing.T) {
	cases := []cwmodel.Resources{
		{},
		{MilliProcessors: 250, MemoryBytes: 512 << 20, Accelerators: 2, Slots: 1, Connections: 60},
		{MilliProcessors: 64_001},
	}
	for _, want := range cases {
		is.New(t).Equal(cwcodec.ResourcesOf(want).ToModel(), want)
	}
}

// FuzzDecodeConfiguration asserts that an accepted configuration is unchanged after it is encoded and decoded.
func FuzzDecodeConfiguration(f *testing.F) {
	for _, example := range []string{"nilecraft", "kameelboom"} {
		seed, err := os.ReadFile(filepath.Join("..", "..", "..", "examples", example, "configuration.json"))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		cfg, err := cwcodec.DecodeConfiguration(data)
		if err != nil {
			return
		}
		is := is.New(t)
		encoded, err := cwcodec.EncodeConfiguration(cfg)
		is.NoErr(err)
		again, err := cwcodec.DecodeConfiguration(encoded)
		is.NoErr(err)
		is.Equal(again, cfg)
	})
}
