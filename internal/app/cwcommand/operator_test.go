package cwcommand_test

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"currantward/internal/app/cwcommand"
	"currantward/internal/app/cwdeployment"
	"currantward/internal/app/cwsettings"
	"currantward/internal/base/cwlog"
	"currantward/internal/base/cwtimer"
	"currantward/internal/core/cwpolicy"
)

// TestOperatorCommands runs the operators' subcommands in order against one entry host that requires a token. The deployment's own
// entry host has no operators, so the test starts a second one on the same platform.
func TestOperatorCommands(t *testing.T) {
	is := is.New(t)
	const token = "token-of-amal"
	sum := sha256.Sum256([]byte(token))
	document := cwsettings.Defaults()
	document.HostID, document.DataCentre, document.Platform = "entry-1", "cairo-1", "127.0.0.1:9000"
	document.ListenCallers, document.ListenOperators, document.ListenPeers = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	settings, err := document.Validate()
	is.NoErr(err)
	timer, stopTimer := cwtimer.New()
	t.Cleanup(stopTimer)
	seed := cwpolicy.Configuration{Teams: []cwpolicy.Team{{Name: "seed", Weight: 1}}}
	first, stop, err := cwdeployment.New(cwdeployment.Options{Timer: timer, Log: cwlog.Discard(), Settings: settings, Configuration: seed})
	is.NoErr(err)
	t.Cleanup(stop)
	document.Platform, document.HostID = first.PlatformAddress.String(), "entry-2"
	document.Operators = []cwsettings.Operator{{Name: "amal", Role: "write", TokenSHA256: hex.EncodeToString(sum[:])}}
	settings, err = document.Validate()
	is.NoErr(err)
	entryHost, stopEntryHost, err := cwdeployment.StartEntryHost(settings, timer, cwlog.Discard())
	is.NoErr(err)
	t.Cleanup(stopEntryHost)
	folder := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(folder, name)
		is.NoErr(os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	tokenFile := write("token", token+"\n")
	team := write("team.json", `{"name":"riders","quota":{"slots":4}}`)
	invalid := write("faulty.json", `{"name":"riders","weight":-1,"quota":{"slots":-4}}`)
	example := filepath.Join("..", "..", "..", "examples", "nilecraft", "configuration.json")
	cases := []struct {
		name string
		args []string
		code int
		want string // in standard output or standard error
	}{
		{"no token", []string{"status"}, cwcommand.ExitFailed, "unauthorized"},
		{"dry run", []string{"team", "put", team, "--dry-run"}, cwcommand.ExitOK, `{"version":2,"dry-run":true}`},
		{"put a team", []string{"team", "put", team, "--expect-version", "1"}, cwcommand.ExitOK, `{"item":"team","name":"riders","operation":"added"}`},
		{"put it on an old version", []string{"team", "put", team, "--expect-version", "1"}, cwcommand.ExitConflict, "version 2 by amal"},
		{"faults", []string{"team", "put", invalid}, cwcommand.ExitUsage, "team.quota"},
		{"get it", []string{"team", "get", "riders"}, cwcommand.ExitOK, `"slots":4`},
		{"import", []string{"configuration", "import", example, "--expect-version", "2"}, cwcommand.ExitOK, `{"version":3}`},
		{"list profiles", []string{"profile", "list"}, cwcommand.ExitOK, `"name":"parts-order"`},
		{"list teams", []string{"team", "list"}, cwcommand.ExitOK, `"name":"technicians"`},
		{"delete a profile", []string{"profile", "delete", "parts-order"}, cwcommand.ExitOK, `"operation":"removed"`},
		{"get what was deleted", []string{"profile", "get", "parts-order"}, cwcommand.ExitFailed, "not-found"},
		{"export", []string{"configuration", "export"}, cwcommand.ExitOK, `"version":4`},
		{"history", []string{"configuration", "history"}, cwcommand.ExitOK, `"what":"delete profile parts-order"`},
		{"diff", []string{"configuration", "diff", "3", "4"}, cwcommand.ExitOK, `"name":"parts-order","operation":"removed"`},
		{"wait for what is not there", []string{"configuration", "wait", "--version", "9", "--timeout", "50ms"}, cwcommand.ExitIndefinite, "not known to be in force"},
		{"totals", []string{"totals", "--day", "2026-02-30"}, cwcommand.ExitUsage, "is not a date"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var stdout, stderr bytes.Buffer
			args := append(slices.Clone(c.args), "--operators", entryHost.OperatorsAddr.String())
			if c.name != "no token" {
				args = append(args, "--token-file", tokenFile)
			}
			is.Equal(cwcommand.Run(args, &stdout, &stderr), c.code)
			is.True(strings.Contains(stdout.String()+stderr.String(), c.want))
			is.True(!strings.Contains(stdout.String()+stderr.String(), token)) // the token is never printed
		})
	}
}
