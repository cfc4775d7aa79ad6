package cwcommand

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"net/url"

	"github.com/valyala/fasthttp"

	"currantward/internal/adapter/cwfront"
	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwhttp"
)

// jobArgs are the subcommands of job. All but the chosen one are nil.
type jobArgs struct {
	Submit *jobSubmitArgs `arg:"subcommand:submit" help:"submit one job"`
	Get    *jobIDArgs     `arg:"subcommand:get" help:"print one job"`
	List   *jobListArgs   `arg:"subcommand:list" help:"print the jobs of a team"`
	Cancel *jobIDArgs     `arg:"subcommand:cancel" help:"cancel one job"`
}

// callerArgs name the callers' listener.
type callerArgs struct {
	Callers netip.AddrPort `arg:"--callers" default:"127.0.0.1:8080" help:"address of an entry host's listener for callers"`
}

type jobSubmitArgs struct {
	File string `arg:"positional,required" help:"file with one JSON job, or - for standard input"`
	callerArgs
}

type jobIDArgs struct {
	ID string `arg:"positional,required" help:"identifier of the job"`
	callerArgs
}

type jobListArgs struct {
	Team string `arg:"positional,required" help:"name of the team"`
	callerArgs
}

// job runs the chosen subcommand of job: submit, get, list or cancel.
func (r *commandRunner) job(a *jobArgs) error {
	switch {
	case a.Submit != nil:
		return r.submitJob(a.Submit)
	case a.Get != nil:
		return r.callJobsAndPrint(a.Get.Callers, fasthttp.MethodGet, jobPath(a.Get.ID), nil)
	case a.Cancel != nil:
		return r.callJobsAndPrint(a.Cancel.Callers, fasthttp.MethodDelete, jobPath(a.Cancel.ID), nil)
	case a.List != nil:
		return r.callJobsAndPrint(a.List.Callers, fasthttp.MethodGet, cwfront.PathJobs+"?team="+url.QueryEscape(a.List.Team), nil)
	}
	return cwfault.New(cwfault.Invalid, "job needs one of submit, get, list and cancel")
}

// submitJob submits the job in a file through the callers' API and prints the response.
func (r *commandRunner) submitJob(a *jobSubmitArgs) error {
	data, err := readFile(a.File)
	if err != nil {
		return err
	}
	return r.callJobsAndPrint(a.Callers, fasthttp.MethodPost, cwfront.PathJobs, json.RawMessage(data))
}

// callJobsAndPrint calls one operation on jobs at the callers' listener, with in as the body or none if in is nil, and prints its JSON
// response.
func (r *commandRunner) callJobsAndPrint(callersAddr netip.AddrPort, method, path string, in any) error {
	client, stop := cwhttp.NewClient(cwhttp.DefaultClientOptions())
	defer stop()
	var response json.RawMessage
	if err := callWithTimeout(client, callersAddr, method, path, in, &response); err != nil {
		return err
	}
	fmt.Fprintln(r.stdout, string(response))
	return nil
}

// jobPath returns the path of one job in the callers' API.
func jobPath(id string) string { return cwfront.PathJobs + "/" + url.PathEscape(id) }
