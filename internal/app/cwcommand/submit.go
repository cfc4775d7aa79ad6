package cwcommand

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/valyala/fasthttp"

	"currantward/internal/adapter/cwcodec"
	"currantward/internal/adapter/cwfront"
	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwhttp"
	"currantward/internal/core/cwmodel"
)

// submitArgs are the options of submit.
type submitArgs struct {
	File     string         `arg:"positional,required" help:"file with one JSON request a line, or - for standard input"`
	Callers  netip.AddrPort `arg:"--callers" default:"127.0.0.1:8080" help:"address of an entry host's listener for callers"`
	Parallel int            `arg:"--parallel" default:"16" help:"requests in flight at once"`
	Quiet    bool           `arg:"--quiet" help:"print no answers, only the summary"`
}

// submitter sends requests concurrently and counts their outcomes.
type submitter struct {
	client        *cwhttp.Client
	callersAddr   netip.AddrPort
	mu            sync.Mutex     // guards counts and keeps printed responses whole
	counts        map[string]int // by outcome or error code
	printResponse func(response []byte)
}

// submit sends a file of requests to the callers' listener at a.Callers, prints their responses, and fails if none of them is done.
func (r *commandRunner) submit(a *submitArgs) error {
	data, err := readFile(a.File)
	if err != nil {
		return err
	}
	counts, err := r.submitAll(a.Callers, data, a.Parallel, a.Quiet)
	if err != nil {
		return err
	}
	if counts[string(cwmodel.OutcomeDone)] == 0 {
		return cwfault.New(cwfault.Refused, "no request was done: %v", counts)
	}
	return nil
}

// submitAll sends each line of data as one request, at most parallel at once. It prints the responses unless quiet is set, then
// prints and returns the count of each outcome or error code.
func (r *commandRunner) submitAll(callersAddr netip.AddrPort, data []byte, parallel int, quiet bool) (counts map[string]int, err error) {
	if parallel < 1 || parallel > 1000 {
		return nil, cwfault.New(cwfault.Invalid, "parallel: %d is not from 1 to 1000", parallel)
	}
	opts := cwhttp.DefaultClientOptions()
	opts.Timeout, opts.MaxConnsPerHost = time.Minute, parallel
	client, stop := cwhttp.NewClient(opts)
	defer stop()
	s := &submitter{client: client, callersAddr: callersAddr, counts: map[string]int{}}
	s.printResponse = func(response []byte) {
		if !quiet {
			fmt.Fprintln(r.stdout, string(bytes.TrimSpace(response)))
		}
	}
	if err = s.sendLines(data, parallel); err != nil {
		return nil, err
	}
	summary, err := json.Marshal(s.counts)
	if err != nil {
		return nil, err
	}
	fmt.Fprintf(r.stderr, "outcomes %s\n", summary)
	return s.counts, nil
}

// sendLines sends each line that is not blank as one request and waits for all responses.
func (s *submitter) sendLines(data []byte, parallel int) error {
	pool, err := ants.NewPool(parallel)
	if err != nil {
		return err
	}
	defer pool.Release()
	var pending sync.WaitGroup
	lines := bufio.NewScanner(bytes.NewReader(data))
	lines.Buffer(nil, 16<<20)
	for lines.Scan() {
		line := bytes.Clone(bytes.TrimSpace(lines.Bytes()))
		if len(line) == 0 {
			continue
		}
		pending.Add(1)
		if err = pool.Submit(func() { defer pending.Done(); s.sendRequest(line) }); err != nil {
			return err
		}
	}
	pending.Wait()
	return lines.Err()
}

// sendRequest sends one request, counts its outcome and prints the response; a failed call counts as "no-answer".
func (s *submitter) sendRequest(line []byte) {
	_, body, err := s.client.Do(context.Background(), fasthttp.MethodPost, s.callersAddr, cwfront.PathRequests, line)
	outcome := "no-answer"
	if err == nil {
		outcome = outcomeOf(body)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[outcome]++
	s.printResponse(body)
}

// outcomeOf returns the outcome in a response or the code of an error response, and "no-answer" for any other body.
func outcomeOf(body []byte) string {
	var response cwcodec.Response
	if json.Unmarshal(body, &response) == nil && response.Outcome != "" {
		return response.Outcome
	}
	var document cwhttp.ErrorDocument
	if json.Unmarshal(body, &document) == nil && document.Error != "" {
		return string(document.Error)
	}
	return "no-answer"
}
