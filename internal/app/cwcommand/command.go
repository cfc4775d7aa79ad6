// Package cwcommand implements the command line and its subcommands.
package cwcommand

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/valyala/fasthttp"

	"currantward/internal/adapter/cwadmin"
	"currantward/internal/app/cwdeployment"
	"currantward/internal/app/cwsettings"
	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwhttp"
	"currantward/internal/base/cwlog"
	"currantward/internal/base/cwtimer"
	"currantward/platform/cwboot"
	"currantward/platform/cwhost"
)

// Version is the version of this program.
const Version = "currantward 0.1.0"

// Exit codes of the program.
const (
	ExitOK         = 0
	ExitFailed     = 1 // the operation failed
	ExitUsage      = 2 // the command line or a file is invalid
	ExitConflict   = 3 // another change was committed first
	ExitNotRun     = 4 // the request was not run
	ExitIndefinite = 5 // unknown whether the operation took effect or is in force everywhere
)

// arguments is the command line. The parser sets the field of the chosen subcommand and leaves the others nil.
type arguments struct {
	Serve    *serveArgs         `arg:"subcommand:serve" help:"run one entry host"`
	Node     *nodeArgs          `arg:"subcommand:node" help:"run one entry host on the users' platform"`
	Explain  *explainArgs       `arg:"subcommand:explain" help:"print the life of one job from the logs of the entry hosts"`
	Dev      *devArgs           `arg:"subcommand:dev" help:"run a whole deployment in this process and serve a file of requests"`
	Submit   *submitArgs        `arg:"subcommand:submit" help:"submit one request or a file of requests"`
	Job      *jobArgs           `arg:"subcommand:job" help:"submit, get, list or cancel jobs"`
	Profile  *profileArgs       `arg:"subcommand:profile" help:"list, get, put or delete profiles"`
	Team     *teamArgs          `arg:"subcommand:team" help:"list, get, put or delete teams and their quotas"`
	Config   *configurationArgs `arg:"subcommand:configuration" help:"export, import, history, diff or wait"`
	Import   *changeFileArgs    `arg:"subcommand:import" help:"replace the whole configuration by that of a file"`
	Totals   *totalsArgs        `arg:"subcommand:totals" help:"print the totals of one day"`
	Status   *operatorArgs      `arg:"subcommand:status" help:"print what an entry host says of itself and its peers"`
	Drain    *operatorArgs      `arg:"subcommand:drain" help:"shut one entry host down gracefully"`
	Settings *checkArgs         `arg:"subcommand:check-settings" help:"check a settings file and name every fault"`

	// ShowVersion replaces go-arg's built-in --version, which would capture the --version of configuration wait.
	ShowVersion bool `arg:"--version" help:"print the version and exit"`
}

// Description returns the text that --help prints first.
func (arguments) Description() string {
	return "currantward schedules requests, batch runs, gangs and services on one shared fleet."
}

type serveArgs struct {
	Settings string `arg:"positional,required" help:"JSON settings file"`
}

type nodeArgs struct {
	Settings string `arg:"positional" help:"settings file of the platform; by default the one that the environment names"`
}

type checkArgs struct {
	Settings string `arg:"positional,required" help:"JSON settings file"`
}

// commandRunner runs the subcommands, most by a method of the same name, and holds what they share.
type commandRunner struct {
	stdout io.Writer
	stderr io.Writer
	timer  *cwtimer.Service
}

// Run executes one command line and returns its exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	var a arguments
	parser, err := arg.NewParser(arg.Config{Program: "currantward", StrictSubcommands: true}, &a)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	if code, handled := parse(parser, &a, args, stdout, stderr); handled {
		return code
	}
	timer, stop := cwtimer.New()
	defer stop()
	r := &commandRunner{stdout: stdout, stderr: stderr, timer: timer}
	return r.reportError(r.runSubcommand(&a))
}

// parse parses the arguments; handled reports that nothing is left to run, as after --help or a usage error.
func parse(parser *arg.Parser, a *arguments, args []string, stdout, stderr io.Writer) (code int, handled bool) {
	err := parser.Parse(args)
	switch {
	case errors.Is(err, arg.ErrHelp):
		_ = parser.WriteHelpForSubcommand(stdout, parser.SubcommandNames()...)
		return ExitOK, true
	case err == nil && a.ShowVersion:
		fmt.Fprintln(stdout, Version)
		return ExitOK, true
	case err == nil && parser.Subcommand() == nil:
		parser.WriteHelp(stderr)
		return ExitUsage, true
	case err != nil:
		_ = parser.WriteUsageForSubcommand(stderr, parser.SubcommandNames()...)
		fmt.Fprintln(stderr, "error:", err)
		return ExitUsage, true
	}
	return ExitOK, false
}

// runSubcommand runs the subcommand that the arguments choose. parse has made sure that there is one, so the last case is check-settings.
func (r *commandRunner) runSubcommand(a *arguments) error {
	switch {
	case a.Serve != nil:
		return r.serve(a.Serve)
	case a.Node != nil:
		return r.node(a.Node)
	case a.Explain != nil:
		return r.explain(a.Explain)
	case a.Dev != nil:
		return r.dev(a.Dev)
	case a.Submit != nil:
		return r.submit(a.Submit)
	case a.Job != nil:
		return r.job(a.Job)
	case a.Profile != nil:
		return r.profile(a.Profile)
	case a.Team != nil:
		return r.team(a.Team)
	case a.Config != nil:
		return r.configuration(a.Config)
	case a.Import != nil:
		return r.importConfiguration(a.Import)
	case a.Totals != nil:
		return r.totals(a.Totals)
	case a.Status != nil:
		return r.callAdminAndPrint(*a.Status, fasthttp.MethodGet, cwadmin.PathStatus)
	case a.Drain != nil:
		return r.callAdminAndPrint(*a.Drain, fasthttp.MethodPost, cwadmin.PathDrain)
	}
	return r.checkSettings(a.Settings)
}

// reportError prints err, if any, and returns the matching exit code.
func (r *commandRunner) reportError(err error) int {
	if err == nil {
		return ExitOK
	}
	fmt.Fprintf(r.stderr, "error: %s: %s\n", cwfault.CodeOf(err), cwfault.MessageOf(err))
	switch cwfault.CodeOf(err) {
	case cwfault.Invalid:
		return ExitUsage
	case cwfault.Conflict:
		return ExitConflict
	case cwfault.Refused:
		return ExitNotRun
	case cwfault.Indefinite:
		return ExitIndefinite
	}
	return ExitFailed
}

// checkSettings validates a settings file without starting an entry host.
func (r *commandRunner) checkSettings(a *checkArgs) error {
	settings, err := cwsettings.Load(a.Settings)
	if err != nil {
		return err
	}
	fmt.Fprintf(r.stdout, "settings of %s are valid\n", settings.HostID)
	return nil
}

// serve runs an entry host until a signal arrives or an operator drains it.
func (r *commandRunner) serve(a *serveArgs) error {
	settings, err := cwsettings.Load(a.Settings)
	if err != nil {
		return err
	}
	log := cwlog.New(r.stderr, settings.LogLevel)
	entryHost, stop, err := cwdeployment.StartEntryHost(settings, r.timer, log)
	if err != nil {
		return err
	}
	defer stop()
	ctx, cancel := signalContext()
	defer cancel()
	select {
	case <-ctx.Done():
	case <-entryHost.DrainRequested:
	}
	return nil
}

// node is the production form of serve: it uses the adapters of the users' platform, and that platform writes the settings file. It runs until
// a termination signal, then drains. Without a path, cwboot.Path chooses the file: the one that the environment names, or the default.
func (r *commandRunner) node(a *nodeArgs) error {
	path := a.Settings
	if path == "" {
		path = cwboot.Path()
	}
	return cwhost.Run(path, r.stdout)
}

// signalContext returns a context that is cancelled by the first interrupt or termination signal.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

// callAdminAndPrint calls one operation of the operators' API, which cwadmin serves, without a body and prints its JSON response.
func (r *commandRunner) callAdminAndPrint(a operatorArgs, method, path string) error {
	var response json.RawMessage
	if err := r.callAdmin(a, method, path, nil, &response); err != nil {
		return err
	}
	fmt.Fprintln(r.stdout, string(response))
	return nil
}

// callAdmin calls one operation of the operators' API, which cwadmin serves, with in as the body, or none if in is nil, and decodes the response into out.
func (r *commandRunner) callAdmin(a operatorArgs, method, path string, in, out any) error {
	client, stop, err := r.client(a)
	if err != nil {
		return err
	}
	defer stop()
	return callWithTimeout(client, a.Operators, method, path, in, out)
}

// callWithTimeout makes one call to the listener at addr, with the timeout that all subcommands share.
func callWithTimeout(client *cwhttp.Client, addr netip.AddrPort, method, path string, in, out any) error {
	const timeout = 10 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return client.Call(ctx, method, addr, path, in, out)
}
