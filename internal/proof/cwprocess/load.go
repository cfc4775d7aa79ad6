package cwprocess

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"currantward/internal/adapter/cwcodec"
	"currantward/internal/adapter/cwfront"
	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwhttp"
	"currantward/internal/base/cwtimer"
	"currantward/internal/core/cwmodel"
)

// Exchange is one request with what its caller saw.
type Exchange struct {
	Host        cwmodel.HostID
	Profile     string
	Payload     []byte
	SentAt      time.Time
	RespondedAt time.Time
	Err         error // no answer came
	Response    cwcodec.Response
}

// Load sends requests to the entry hosts from a number of callers until it is stopped.
type Load struct {
	client *cwhttp.Client
	timer  *cwtimer.Service
	done   atomic.Int64
	stop   atomic.Bool
	ended  sync.WaitGroup
	mu     sync.Mutex
	list   []Exchange
	hosts  []*EntryHost
	wake   chan struct{} // closed and replaced on each done answer
}

// Times of a caller.
const (
	callerTimeout = 20 * time.Second      // well above every deadline
	refusalPause  = 20 * time.Millisecond // after a request that was not done
)

// StartLoad starts callers that draw hosts, profiles and run times from seed.
func StartLoad(c *Cluster, callers int, seed uint64) *Load {
	client, _ := cwhttp.NewClient(cwhttp.ClientOptions{
		Timeout: callerTimeout, MaxConnsPerHost: callers, MaxResponseBytes: 1 << 20, MaxIdleConnection: time.Second,
	})
	l := &Load{client: client, timer: c.opts.Timer, hosts: c.Hosts, wake: make(chan struct{})}
	for n := range callers {
		l.ended.Go(func() { l.call(n, rand.New(rand.NewPCG(seed, uint64(n)))) })
	}
	return l
}

// Stop ends the load, waits for the answers that are due and returns all exchanges.
func (l *Load) Stop() []Exchange {
	l.stop.Store(true)
	l.ended.Wait()
	return l.list
}

// AwaitDone waits until n further requests are done.
func (l *Load) AwaitDone(ctx context.Context, n int64) error {
	target := l.done.Load() + n
	for {
		l.mu.Lock()
		wake := l.wake
		l.mu.Unlock()
		if l.done.Load() >= target {
			return nil
		}
		select {
		case <-wake:
		case <-ctx.Done():
			return fmt.Errorf("%d requests fewer than expected are done", target-l.done.Load())
		}
	}
}

func (l *Load) call(caller int, r *rand.Rand) {
	for n := 0; !l.stop.Load(); n++ {
		host := l.hosts[r.IntN(len(l.hosts))]
		if host.IsEnded() {
			continue
		}
		profile := []string{"check", "filing"}[r.IntN(2)]
		payload := fmt.Sprintf(`{"case":"%d-%d","simulate":{"run":"%dms"}}`, caller, n, 1+r.IntN(40))
		e := l.post(host, cwcodec.Submission{Profile: profile, Team: "intake", Payload: json.RawMessage(payload)})
		l.add(e)
		if e.Response.Outcome != string(cwmodel.OutcomeDone) {
			l.timer.Sleep(nil, refusalPause)
		}
	}
}

// SendRequest sends one further request and keeps what came back with the others.
func (l *Load) SendRequest(host *EntryHost, profile, payload string) {
	l.ended.Go(func() {
		l.add(l.post(host, cwcodec.Submission{Profile: profile, Team: "intake", Payload: json.RawMessage(payload)}))
	})
}

func (l *Load) post(host *EntryHost, submission cwcodec.Submission) (e Exchange) {
	body, err := json.Marshal(submission)
	e = Exchange{Host: host.ID, Profile: submission.Profile, SentAt: l.timer.Now()}
	if err != nil {
		e.Err = err
		return e
	}
	var sent cwcodec.Submission
	_ = json.Unmarshal(body, &sent) // the payload as the host reads it
	e.Payload = sent.Payload
	_, answer, err := l.client.Do(context.Background(), fasthttp.MethodPost, host.Callers, cwfront.PathRequests, body)
	e.RespondedAt = l.timer.Now()
	switch {
	case err != nil:
		e.Err = err
	case json.Unmarshal(answer, &e.Response) != nil || e.Response.Outcome == "":
		e.Err = cwfault.New(cwfault.Invalid, "not an answer: %s", answer)
	}
	return e
}

func (l *Load) add(e Exchange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, e)
	if e.Response.Outcome == string(cwmodel.OutcomeDone) {
		l.done.Add(1)
		close(l.wake)
		l.wake = make(chan struct{})
	}
}

// SendRequestFile sends each line of a file of requests once, to the hosts in turn, and returns what came back.
func SendRequestFile(c *Cluster, hosts []*EntryHost, lines []byte) (exchanges []Exchange) {
	const parallel = 16
	client, stop := cwhttp.NewClient(cwhttp.ClientOptions{Timeout: callerTimeout, MaxConnsPerHost: parallel, MaxResponseBytes: 1 << 20})
	defer stop()
	list := bytes.Split(bytes.TrimSpace(lines), []byte("\n"))
	exchanges = make([]Exchange, len(list))
	var sent sync.WaitGroup
	next := atomic.Int64{}
	l := &Load{client: client, timer: c.opts.Timer}
	for range parallel {
		sent.Go(func() {
			for n := int(next.Add(1)) - 1; n < len(list); n = int(next.Add(1)) - 1 {
				var submission cwcodec.Submission
				if exchanges[n].Err = json.Unmarshal(list[n], &submission); exchanges[n].Err == nil {
					exchanges[n] = l.post(hosts[n%len(hosts)], submission)
				}
			}
		})
	}
	sent.Wait()
	return exchanges
}
