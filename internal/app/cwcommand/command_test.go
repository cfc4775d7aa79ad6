package cwcommand_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"currantward/internal/app/cwcommand"
)

func TestExitCodes(t *testing.T) {
	faulty := filepath.Join(t.TempDir(), "settings.json")
	is.New(t).NoErr(os.WriteFile(faulty, []byte(`{"host-id":"A","data-centre":"","platform":"nowhere"}`), 0o600))
	cases := []struct {
		name string
		args []string
		code int
		out  string
		errs string
	}{
		{"help", []string{"--help"}, cwcommand.ExitOK, "check-settings", ""},
		{"version", []string{"--version"}, cwcommand.ExitOK, cwcommand.Version, ""},
		{"no subcommand", nil, cwcommand.ExitUsage, "", "Usage"},
		{"unknown subcommand", []string{"fly"}, cwcommand.ExitUsage, "", "error"},
		{"missing argument", []string{"serve"}, cwcommand.ExitUsage, "", "SETTINGS"},
		{"valid settings", []string{"check-settings", "../../../examples/nilecraft/entry-1.json"}, cwcommand.ExitOK, "valid", ""},
		{"faulty settings", []string{"check-settings", faulty}, cwcommand.ExitUsage, "", "host-id"},
		{"missing file", []string{"check-settings", faulty + "x"}, cwcommand.ExitFailed, "", "no such file"},
		{"no host to ask", []string{"status", "--operators", "127.0.0.1:1"}, cwcommand.ExitFailed, "", "unavailable"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var out, errs bytes.Buffer
			is.Equal(cwcommand.Run(c.args, &out, &errs), c.code)
			is.True(strings.Contains(out.String(), c.out))
			is.True(strings.Contains(errs.String(), c.errs))
		})
	}
}

func TestDevServesTheExamples(t *testing.T) {
	cases := []struct{ folder, profile string }{
		{"../../../examples/nilecraft", "diagnostics"},
		{"../../../examples/kameelboom", "filing-bundle"},
	}
	for _, c := range cases {
		t.Run(c.folder, func(t *testing.T) {
			is := is.New(t)
			var out, errs bytes.Buffer
			is.Equal(cwcommand.Run([]string{"dev", c.folder}, &out, &errs), cwcommand.ExitOK)
			is.True(strings.Contains(errs.String(), `outcomes {"done":400}`))
			is.True(strings.Contains(out.String(), c.profile))
		})
	}
}
