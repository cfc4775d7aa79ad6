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

// TestExitCodes asserts the exit code of each kind of command line and that its text is on standard output or standard error.
func TestExitCodes(t *testing.T) {
	invalid := filepath.Join(t.TempDir(), "settings.json")
	is.New(t).NoErr(os.WriteFile(invalid, []byte(`{"host-id":"A","data-centre":"","platform":"nowhere"}`), 0o600))
	cases := []struct {
		name   string
		args   []string
		code   int
		stdout string
		stderr string
	}{
		{"help", []string{"--help"}, cwcommand.ExitOK, "check-settings", ""},
		{"version", []string{"--version"}, cwcommand.ExitOK, cwcommand.Version, ""},
		{"no subcommand", nil, cwcommand.ExitUsage, "", "Usage"},
		{"unknown subcommand", []string{"fly"}, cwcommand.ExitUsage, "", "error"},
		{"missing argument", []string{"serve"}, cwcommand.ExitUsage, "", "SETTINGS"},
		{"valid settings", []string{"check-settings", "../../../examples/nilecraft/entry-1.json"}, cwcommand.ExitOK, "valid", ""},
		{"faulty settings", []string{"check-settings", invalid}, cwcommand.ExitUsage, "", "host-id"},
		{"missing file", []string{"check-settings", invalid + "x"}, cwcommand.ExitFailed, "", "no such file"},
		{"no host to ask", []string{"status", "--operators", "127.0.0.1:1"}, cwcommand.ExitFailed, "", "unavailable"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var stdout, stderr bytes.Buffer
			is.Equal(cwcommand.Run(c.args, &stdout, &stderr), c.code)
			is.True(strings.Contains(stdout.String(), c.stdout))
			is.True(strings.Contains(stderr.String(), c.stderr))
		})
	}
}

// TestDevServesExamples runs the deployment of each example and asserts that all of its 400 requests are done and totalled.
func TestDevServesExamples(t *testing.T) {
	cases := []struct{ folder, profile string }{
		{"../../../examples/nilecraft", "diagnostics"},
		{"../../../examples/kameelboom", "filing-bundle"},
	}
	for _, c := range cases {
		t.Run(c.folder, func(t *testing.T) {
			is := is.New(t)
			var stdout, stderr bytes.Buffer
			is.Equal(cwcommand.Run([]string{"dev", c.folder}, &stdout, &stderr), cwcommand.ExitOK)
			is.True(strings.Contains(stderr.String(), `outcomes {"done":400}`))
			is.True(strings.Contains(stdout.String(), c.profile))
		})
	}
}
