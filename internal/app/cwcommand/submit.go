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

// submission counts the outcomes of one file of requests.
type submission struct {
	client  *cwhttp.Client
	callers netip.AddrPort
	mu      sync.Mutex
	counts  map[string]int
	print   func(answer []byte)
}

func (r *runtime) submit(a *submitArgs) error {
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

// submitAll sends each line as one request and returns how often each outcome or error came back.
func (r *runtime) submitAll(callers netip.AddrPort, data []byte, parallel int, quiet bool) (counts map[string]int, err error) {
	if parallel < 1 || parallel > 1000 {
		return nil, cwfault.New(cwfault.Invalid, "parallel: %d is not from 1 to 1000", parallel)
	}
	opts := cwhttp.DefaultClientOptions()
	opts.Timeout, opts.MaxConnsPerHost = time.Minute, parallel
	client, stop := cwhttp.NewClient(opts)
	defer stop()
	s := &submission{client: client, callers: callers, counts: map[string]int{}}
	s.print = func(answer []byte) {
		if !quiet {
			fmt.Fprintln(r.out, string(bytes.TrimSpace(answer)))
		}
	}
	if err = s.sendLines(data, parallel); err != nil {
		return nil, err
	}
	summary, err := json.Marshal(s.counts)
	if err != nil {
		return nil, err
	}
	fmt.Fprintf(r.errors, "outcomes %s\n", summary)
	return s.counts, nil
}

func (s *submission) sendLines(data []byte, parallel int) error {
	pool, err := ants.NewPool(parallel)
	if err != nil {
		return err
	}
	defer pool.Release()
	var sent sync.WaitGroup
	lines := bufio.NewScanner(bytes.NewReader(data))
	lines.Buffer(nil, 16<<20)
	for lines.Scan() {
		line := bytes.Clone(bytes.TrimSpace(lines.Bytes()))
		if len(line) == 0 {
			continue
		}
		sent.Add(1)
		if err = pool.Submit(func() { defer sent.Done(); s.send(line) }); err != nil {
			return err
		}
	}
	sent.Wait()
	return lines.Err()
}

func (s *submission) send(line []byte) {
	_, body, err := s.client.Do(context.Background(), fasthttp.MethodPost, s.callers, cwfront.PathRequests, line)
	outcome := "no-answer"
	if err == nil {
		outcome = outcomeOf(body)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[outcome]++
	s.print(body)
}

// outcomeOf returns the outcome of an answer, or the code of an error answer.
func outcomeOf(body []byte) string {
	var answer cwcodec.Response
	if json.Unmarshal(body, &answer) == nil && answer.Outcome != "" {
		return answer.Outcome
	}
	var document cwhttp.ErrorDocument
	if json.Unmarshal(body, &document) == nil && document.Error != "" {
		return string(document.Error)
	}
	return "no-answer"
}
