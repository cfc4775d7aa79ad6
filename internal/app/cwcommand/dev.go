package cwcommand

import (
	"fmt"
	"path/filepath"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"currantward/internal/adapter/cwadmin"
	"currantward/internal/adapter/cwcodec"
	"currantward/internal/app/cwdeployment"
	"currantward/internal/app/cwsettings"
	"currantward/internal/base/cwhttp"
	"currantward/internal/base/cwlog"
	"currantward/internal/core/cwpolicy"
)

// devArgs are the options of dev.
type devArgs struct {
	Examples []string `arg:"positional,required" help:"folders that hold deployment.json, configuration.json and requests.jsonl"`
	Keep     bool     `arg:"--keep" help:"go on serving the last folder until interrupted"`
	Parallel int      `arg:"--parallel" default:"32" help:"requests in flight at once"`
	LogLevel string   `arg:"--log-level" default:"warning" help:"level of the log on standard error"`
}

// deploymentDocument is the content of deployment.json, which describes what dev starts.
type deploymentDocument struct {
	Settings       cwsettings.Document `json:"settings"`
	Workers        int                 `json:"workers"`
	WorkersPerRack int                 `json:"workers-per-rack"`
	Capacity       cwcodec.Resources   `json:"capacity"`
}

// dev runs the examples one after the other. With --keep, the deployment of the last one runs until a signal arrives.
func (r *commandRunner) dev(a *devArgs) error {
	level, err := logrus.ParseLevel(a.LogLevel)
	if err != nil {
		return err
	}
	for n, folder := range a.Examples {
		keepRunning := a.Keep && n == len(a.Examples)-1
		if err = r.runExample(folder, a.Parallel, keepRunning, cwlog.New(r.stderr, level)); err != nil {
			return err
		}
	}
	return nil
}

// runExample starts the deployment that a folder describes, submits the folder's requests and prints the totals of the day, but not
// the individual responses. With keepRunning, it then serves until a signal arrives.
func (r *commandRunner) runExample(folder string, parallel int, keepRunning bool, log *logrus.Logger) error {
	opts, err := r.loadExample(folder)
	if err != nil {
		return err
	}
	opts.Log = log
	requests, err := readFile(filepath.Join(folder, "requests.jsonl"))
	if err != nil {
		return err
	}
	fmt.Fprintf(r.stderr, "%s: %d workers, one entry host\n", folder, opts.Workers)
	deployment, stop, err := cwdeployment.New(opts)
	if err != nil {
		return err
	}
	defer stop()
	if _, err = r.submitAll(deployment.EntryHost.CallersAddr, requests, parallel, true); err != nil {
		return err
	}
	var totals cwcodec.Totals
	if err = r.callAdmin(operatorArgs{Operators: deployment.EntryHost.OperatorsAddr}, fasthttp.MethodGet, cwadmin.PathTotals, nil, &totals); err != nil {
		return err
	}
	if _, err = r.stdout.Write(totals.CSV()); err != nil {
		return err
	}
	if keepRunning {
		fmt.Fprintf(r.stderr, "callers %s, operators %s; interrupt to stop\n", deployment.EntryHost.CallersAddr, deployment.EntryHost.OperatorsAddr)
		ctx, cancel := signalContext()
		defer cancel()
		<-ctx.Done()
	}
	return nil
}

// loadExample reads deployment.json and configuration.json of a folder and returns the options of the deployment, without a log.
func (r *commandRunner) loadExample(folder string) (opts cwdeployment.Options, err error) {
	data, err := readFile(filepath.Join(folder, "deployment.json"))
	if err != nil {
		return opts, err
	}
	document := deploymentDocument{Settings: cwsettings.Defaults()}
	if err = cwhttp.DecodeStrict(data, &document); err != nil {
		return opts, err
	}
	settings, err := document.Settings.Validate()
	if err != nil {
		return opts, err
	}
	data, err = readFile(filepath.Join(folder, "configuration.json"))
	if err != nil {
		return opts, err
	}
	var cfg cwpolicy.Configuration
	if cfg, err = cwcodec.DecodeConfiguration(data); err != nil {
		return opts, err
	}
	return cwdeployment.Options{
		Timer: r.timer, Settings: settings, Configuration: cfg, Workers: document.Workers,
		Capacity: document.Capacity.ToModel(), WorkersPerRack: document.WorkersPerRack,
	}, nil
}
