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

// changeArgs are the terms of a change.
type changeArgs struct {
	operatorArgs
	DryRun        bool          `arg:"--dry-run" help:"check the change and print what it would do"`
	ExpectVersion *uint64       `arg:"--expect-version" help:"make the change on this version alone"`
	ChangeID      string        `arg:"--change-id" help:"repeat a change whose end is not known"`
	Wait          time.Duration `arg:"--wait" help:"wait this long until the change is in force on every entry host"`
}

// configurationArgs are the operations on the whole configuration.
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

func (r *runtime) configuration(a *configurationArgs) error {
	switch {
	case a.Export != nil:
		return r.print(*a.Export, fasthttp.MethodGet, cwadmin.PathConfiguration)
	case a.Import != nil:
		return r.importConfiguration(a.Import)
	case a.History != nil:
		return r.history(*a.History)
	case a.Diff != nil:
		return r.print(a.Diff.operatorArgs, fasthttp.MethodGet, fmt.Sprintf("%s?from=%d&to=%d", cwadmin.PathDiff, a.Diff.From, a.Diff.To))
	case a.Wait != nil:
		return r.wait(a.Wait.operatorArgs, a.Wait.Version, a.Wait.Timeout)
	}
	return cwfault.New(cwfault.Invalid, "configuration: one of export, import, history, diff and wait is needed")
}

// importConfiguration commits the configuration of a file; the version that it carries says nothing about the table.
func (r *runtime) importConfiguration(a *changeFileArgs) error {
	data, err := readFile(a.File)
	if err != nil {
		return err
	}
	cfg, err := cwcodec.DecodeConfiguration(data)
	if err != nil {
		return err
	}
	cfg.Version = 0
	return r.change(a.changeArgs, fasthttp.MethodPut, cwadmin.PathConfiguration, cwcodec.ConfigurationOf(cfg))
}

func (r *runtime) history(a operatorArgs) error {
	var history cwcodec.History
	if err := r.call(a, fasthttp.MethodGet, cwadmin.PathHistory, nil, &history); err != nil {
		return err
	}
	return each(history.Records, json.NewEncoder(r.out).Encode)
}

// changeTries is how often a change whose answer was lost is sent again under its ID.
const changeTries = 3

// changeLine is the first line that a change prints; a line for each difference follows.
type changeLine struct {
	Version uint64 `json:"version"`
	DryRun  bool   `json:"dry-run,omitempty"`
}

// change sends one change, prints its answer and waits for it where that is asked for.
func (r *runtime) change(a changeArgs, method, path string, body any) (err error) {
	if a.ChangeID == "" {
		a.ChangeID = rand.Text()
	}
	var answer cwadmin.ChangeResponse
	for range changeTries {
		err = r.call(a.operatorArgs, method, path+"?"+a.query().Encode(), body, &answer)
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
	encoder := json.NewEncoder(r.out)
	if err = encoder.Encode(changeLine{Version: answer.Version, DryRun: answer.DryRun}); err != nil {
		return err
	}
	if err = each(answer.Differences, encoder.Encode); err != nil || a.DryRun || a.Wait <= 0 {
		return err
	}
	return r.wait(a.operatorArgs, answer.Version, a.Wait)
}

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

// waitPause is how often the status is read while a version is waited for.
const waitPause = 100 * time.Millisecond

// wait reads the status until the version is known to be in force on every entry host, and prints where it is.
func (r *runtime) wait(a operatorArgs, version uint64, timeout time.Duration) error {
	client, stop, err := r.client(a)
	if err != nil {
		return err
	}
	defer stop()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	inForce := cwadmin.Rollout{Version: version}
	for !inForce.Everywhere {
		var status cwadmin.Status
		if err = client.Call(ctx, fasthttp.MethodGet, a.Operators, cwadmin.PathStatus, nil, &status); err == nil {
			inForce = status.Rollout(version)
		} else {
			inForce = cwadmin.Rollout{Version: version, Hosts: []string{}, Behind: []string{}, Unreachable: []string{a.Operators.String()}}
		}
		if code := cwfault.CodeOf(err); code == cwfault.Unauthorized {
			return err
		}
		if !inForce.Everywhere && !r.timer.Sleep(ctx.Done(), waitPause) {
			break
		}
	}
	if err = json.NewEncoder(r.out).Encode(inForce); err != nil || inForce.Everywhere {
		return err
	}
	return cwfault.New(cwfault.Indefinite, "version %d is not known to be in force everywhere after %v: behind [%s], unreachable [%s]",
		version, timeout, strings.Join(inForce.Behind, " "), strings.Join(inForce.Unreachable, " "))
}

// client returns a client that carries the operator's token.
func (r *runtime) client(a operatorArgs) (c *cwhttp.Client, stop func(), err error) {
	token, err := a.token()
	if err != nil {
		return nil, nil, err
	}
	c, stop = cwhttp.NewClient(cwhttp.DefaultClientOptions())
	return c.WithToken(token), stop, nil
}
