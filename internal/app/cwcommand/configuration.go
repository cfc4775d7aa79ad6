package cwcommand

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"currantward/internal/adapter/cwadmin"
	"currantward/internal/adapter/cwcodec"
	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwhttp"
)

// changeArgs are the options of every subcommand that changes the configuration.
type changeArgs struct {
	operatorArgs
	DryRun        bool          `arg:"--dry-run" help:"check the change and print what it would do"`
	ExpectVersion *uint64       `arg:"--expect-version" help:"make the change on this version alone"`
	ChangeID      string        `arg:"--change-id" help:"repeat a change whose end is not known"`
	Wait          time.Duration `arg:"--wait" help:"wait this long until the change is in force on every entry host"`
}

// configurationArgs are the subcommands of configuration. All but the chosen one are nil.
type configurationArgs struct {
	Export  *operatorArgs   `arg:"subcommand:export" help:"print the whole configuration"`
	Import  *changeFileArgs `arg:"subcommand:import" help:"replace the whole configuration by that of a file; the version in the file is ignored"`
	History *operatorArgs   `arg:"subcommand:history" help:"print who changed what and when, the oldest first"`
	Diff    *diffArgs       `arg:"subcommand:diff" help:"print what differs between two versions"`
	Wait    *waitArgs       `arg:"subcommand:wait" help:"wait until a version is in force on every entry host"`
}

type diffArgs struct {
	From uint64 `arg:"positional,required" help:"a version; 0 is the empty configuration"`
	To   uint64 `arg:"positional,required" help:"a version"`
	operatorArgs
}

type waitArgs struct {
	Version uint64        `arg:"--version,required" help:"the version to wait for"`
	Timeout time.Duration `arg:"--timeout" default:"3s" help:"how long to wait"`
	operatorArgs
}

// configuration runs the chosen subcommand of configuration: export, import, history, diff or wait.
func (r *commandRunner) configuration(a *configurationArgs) error {
	switch {
	case a.Export != nil:
		return r.callAdminAndPrint(*a.Export, fasthttp.MethodGet, cwadmin.PathConfiguration)
	case a.Import != nil:
		return r.importConfiguration(a.Import)
	case a.History != nil:
		return r.history(*a.History)
	case a.Diff != nil:
		return r.callAdminAndPrint(a.Diff.operatorArgs, fasthttp.MethodGet, fmt.Sprintf("%s?from=%d&to=%d", cwadmin.PathDiff, a.Diff.From, a.Diff.To))
	case a.Wait != nil:
		return r.awaitRollout(a.Wait.operatorArgs, a.Wait.Version, a.Wait.Timeout)
	}
	return cwfault.New(cwfault.Invalid, "configuration: one of export, import, history, diff and wait is needed")
}

// importConfiguration replaces the whole configuration by the one in a file. It ignores the version in the file, which is
// unrelated to the stored one.
func (r *commandRunner) importConfiguration(a *changeFileArgs) error {
	data, err := readFile(a.File)
	if err != nil {
		return err
	}
	cfg, err := cwcodec.DecodeConfiguration(data)
	if err != nil {
		return err
	}
	cfg.Version = 0
	return r.submitChange(a.changeArgs, fasthttp.MethodPut, cwadmin.PathConfiguration, cwcodec.ConfigurationOf(cfg))
}

// history prints the audit records of the kept changes, oldest first, one line of JSON each.
func (r *commandRunner) history(a operatorArgs) error {
	var history cwcodec.History
	if err := r.callAdmin(a, fasthttp.MethodGet, cwadmin.PathHistory, nil, &history); err != nil {
		return err
	}
	return encodeAll(history.Records, json.NewEncoder(r.stdout).Encode)
}

// maxChangeAttempts is how often a change is sent while its outcome is indefinite, as after a lost response. All attempts have the
// same change ID, so the change is made at most once.
const maxChangeAttempts = 3

// changeSummary is the first line that a change prints, before one line for each difference.
type changeSummary struct {
	Version uint64 `json:"version"`
	DryRun  bool   `json:"dry-run,omitempty"`
}

// submitChange sends one change of the configuration, at most maxChangeAttempts times while its outcome is indefinite, prints the response and, with --wait, waits until the change is in force everywhere.
func (r *commandRunner) submitChange(a changeArgs, method, path string, body any) (err error) {
	if a.ChangeID == "" {
		a.ChangeID = rand.Text()
	}
	var response cwadmin.ChangeResponse
	for range maxChangeAttempts {
		err = r.callAdmin(a.operatorArgs, method, path+"?"+a.query().Encode(), body, &response)
		if cwfault.CodeOf(err) != cwfault.Indefinite {
			break
		}
	}
	if cwfault.CodeOf(err) == cwfault.Indefinite {
		return cwfault.New(cwfault.Indefinite, "%s; repeat it with --change-id %s", cwfault.MessageOf(err), a.ChangeID)
	}
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(r.stdout)
	if err = encoder.Encode(changeSummary{Version: response.Version, DryRun: response.DryRun}); err != nil {
		return err
	}
	if err = encodeAll(response.Differences, encoder.Encode); err != nil || a.DryRun || a.Wait <= 0 {
		return err
	}
	return r.awaitRollout(a.operatorArgs, response.Version, a.Wait)
}

// query returns the URL arguments of a change. An absent expected version is left out.
func (a changeArgs) query() url.Values {
	query := url.Values{cwadmin.ArgChangeID: {a.ChangeID}}
	if a.DryRun {
		query.Set(cwadmin.ArgDryRun, "true")
	}
	if a.ExpectVersion != nil {
		query.Set(cwadmin.ArgExpectVersion, strconv.FormatUint(*a.ExpectVersion, 10))
	}
	return query
}

// statusPollInterval is the time between two reads of the status while a rollout is awaited.
const statusPollInterval = 100 * time.Millisecond

// awaitRollout polls the status until the version is in force on every entry host or the timeout expires, and prints the rollout.
// It returns an indefinite error after the timeout.
func (r *commandRunner) awaitRollout(a operatorArgs, version uint64, timeout time.Duration) error {
	client, stop, err := r.client(a)
	if err != nil {
		return err
	}
	defer stop()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	rollout := cwadmin.Rollout{Version: version}
	for !rollout.Everywhere {
		var status cwadmin.Status
		if err = client.Call(ctx, fasthttp.MethodGet, a.Operators, cwadmin.PathStatus, nil, &status); err == nil {
			rollout = status.Rollout(version)
		} else {
			rollout = cwadmin.Rollout{Version: version, Hosts: []string{}, Behind: []string{}, Unreachable: []string{a.Operators.String()}}
		}
		if code := cwfault.CodeOf(err); code == cwfault.Unauthorized {
			return err
		}
		if !rollout.Everywhere && !r.timer.Sleep(ctx.Done(), statusPollInterval) {
			break
		}
	}
	if err = json.NewEncoder(r.stdout).Encode(rollout); err != nil || rollout.Everywhere {
		return err
	}
	return cwfault.New(cwfault.Indefinite, "version %d is not known to be in force everywhere after %v: behind [%s], unreachable [%s]",
		version, timeout, strings.Join(rollout.Behind, " "), strings.Join(rollout.Unreachable, " "))
}

// client returns a client for the operators' API that sends the operator's token, if there is one.
func (r *commandRunner) client(a operatorArgs) (c *cwhttp.Client, stop func(), err error) {
	token, err := a.token()
	if err != nil {
		return nil, nil, err
	}
	c, stop = cwhttp.NewClient(cwhttp.DefaultClientOptions())
	return c.WithToken(token), stop, nil
}
