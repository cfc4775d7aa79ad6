// Package cwcommand holds the subcommands of the command line.
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
	"currantward/internal/app/cwdev"
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
	ExitUsage      = 2 // the command line or a file is wrong
	ExitConflict   = 3 // another change came first
	ExitNotRun     = 4 // the request was not run
	ExitIndefinite = 5 // whether it took effect, or is in force everywhere, is not known
)

// arguments is the command line.
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

	// ShowVersion is an option and not go-arg's own, which would take the --version of configuration wait.
	ShowVersion bool `arg:"--version" help:"print the version and exit"`
}

// Description is printed by --help.
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

// runtime is what the subcommands share.
type runtime struct {
	out    io.Writer
	errors io.Writer
	timer  *cwtimer.Service
}

// Run carries out one command line and returns its exit code.
func Run(args []string, out, errors io.Writer) int {
	var a arguments
	parser, err := arg.NewParser(arg.Config{Program: "currantward", StrictSubcommands: true}, &a)
	if err != nil {
		fmt.Fprintln(errors, err)
		return ExitUsage
	}
	if code, ended := parse(parser, &a, args, out, errors); ended {
		return code
	}
	timer, stop := cwtimer.New()
	defer stop()
	r := &runtime{out: out, errors: errors, timer: timer}
	return r.exit(r.dispatch(&a))
}

func parse(parser *arg.Parser, a *arguments, args []string, out, errs io.Writer) (code int, ended bool) {
	err := parser.Parse(args)
	switch {
	case errors.Is(err, arg.ErrHelp):
		_ = parser.WriteHelpForSubcommand(out, parser.SubcommandNames()...)
		return ExitOK, true
	case err == nil && a.ShowVersion:
		fmt.Fprintln(out, Version)
		return ExitOK, true
	case err == nil && parser.Subcommand() == nil:
		parser.WriteHelp(errs)
		return ExitUsage, true
	case err != nil:
		_ = parser.WriteUsageForSubcommand(errs, parser.SubcommandNames()...)
		fmt.Fprintln(errs, "error:", err)
		return ExitUsage, true
	}
	return ExitOK, false
}

func (r *runtime) dispatch(a *arguments) error {
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
		return r.print(*a.Status, fasthttp.MethodGet, cwadmin.PathStatus)
	case a.Drain != nil:
		return r.print(*a.Drain, fasthttp.MethodPost, cwadmin.PathDrain)
	}
	return r.checkSettings(a.Settings)
}

// exit prints an error and returns the exit code that belongs to it.
func (r *runtime) exit(err error) int {
	if err == nil {
		return ExitOK
	}
	fmt.Fprintf(r.errors, "error: %s: %s\n", cwfault.CodeOf(err), cwfault.MessageOf(err))
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

func (r *runtime) checkSettings(a *checkArgs) error {
	settings, err := cwsettings.Load(a.Settings)
	if err != nil {
		return err
	}
	fmt.Fprintf(r.out, "settings of %s are valid\n", settings.HostID)
	return nil
}

func (r *runtime) serve(a *serveArgs) error {
	settings, err := cwsettings.Load(a.Settings)
	if err != nil {
		return err
	}
	log := cwlog.New(r.errors, settings.LogLevel)
	entry, stop, err := cwdev.StartEntry(settings, r.timer, log)
	if err != nil {
		return err
	}
	defer stop()
	ctx, cancel := signalContext()
	defer cancel()
	select {
	case <-ctx.Done():
	case <-entry.Drained:
	}
	return nil
}

// node runs an entry host on the users' platform.
func (r *runtime) node(a *nodeArgs) error {
	path := a.Settings
	if path == "" {
		path = cwboot.Path()
	}
	return cwhost.Run(path, r.out)
}

// signalContext ends at the first interrupt or termination signal.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

// print calls one operation and prints its JSON answer.
func (r *runtime) print(a operatorArgs, method, path string) error {
	var document json.RawMessage
	if err := r.call(a, method, path, nil, &document); err != nil {
		return err
	}
	fmt.Fprintln(r.out, string(document))
	return nil
}

// call carries out one operation on the listener for operators.
func (r *runtime) call(a operatorArgs, method, path string, in, out any) error {
	client, stop, err := r.client(a)
	if err != nil {
		return err
	}
	defer stop()
	return callWithin(client, a.Operators, method, path, in, out)
}

// callWithin carries out one call within the time that the command line grants.
func callWithin(client *cwhttp.Client, addr netip.AddrPort, method, path string, in, out any) error {
	const limit = 10 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return client.Call(ctx, method, addr, path, in, out)
}
