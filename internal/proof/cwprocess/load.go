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

// Exchange is one request with the response that its caller received.
type Exchange struct {
	Host        cwmodel.HostID
	Profile     string
	Payload     []byte
	SentAt      time.Time
	RespondedAt time.Time
	Err         error // why there is no response
	Response    cwcodec.Response
}

// Load sends requests to the entry hosts from several concurrent callers until it is stopped.
type Load struct {
	client      *cwhttp.Client
	timer       *cwtimer.Service
	doneCount   atomic.Int64
	isStopped   atomic.Bool
	callers     sync.WaitGroup
	mu          sync.Mutex
	exchanges   []Exchange
	hosts       []*EntryHost
	doneChanged chan struct{} // closed and replaced whenever doneCount changes
}

// Timing of a caller.
const (
	callerTimeout = 20 * time.Second      // well above the deadline of every request
	retryPause    = 20 * time.Millisecond // after a request whose outcome is not done
)

// StartLoad starts callers that send requests with random hosts, profiles and run times. The same seed gives each caller the same
// sequence of random choices.
func StartLoad(c *Cluster, callers int, seed uint64) *Load {
	client, _ := cwhttp.NewClient(cwhttp.ClientOptions{
		Timeout: callerTimeout, MaxConnsPerHost: callers, MaxResponseBytes: 1 << 20, MaxIdleConnection: time.Second,
	})
	l := &Load{client: client, timer: c.opts.Timer, hosts: c.Hosts, doneChanged: make(chan struct{})}
	for n := range callers {
		l.callers.Go(func() { l.runCaller(n, rand.New(rand.NewPCG(seed, uint64(n)))) })
	}
	return l
}

// Stop stops the load, waits for the outstanding responses and returns all exchanges.
func (l *Load) Stop() []Exchange {
	l.isStopped.Store(true)
	l.callers.Wait()
	return l.exchanges
}

// AwaitDone waits until n further requests have received the outcome done.
func (l *Load) AwaitDone(ctx context.Context, n int64) error {
	target := l.doneCount.Load() + n
	for {
		l.mu.Lock()
		completion := l.doneChanged
		l.mu.Unlock()
		if l.doneCount.Load() >= target {
			return nil
		}
		select {
		case <-completion:
		case <-ctx.Done():
			return fmt.Errorf("%d of the awaited requests are not done in time", target-l.doneCount.Load())
		}
	}
}

// runCaller sends one request after the other, each to a random running host, until the load is stopped.
func (l *Load) runCaller(caller int, r *rand.Rand) {
	for n := 0; !l.isStopped.Load(); n++ {
		host := l.hosts[r.IntN(len(l.hosts))]
		if host.IsEnded() {
			continue
		}
		profile := []string{"check", "filing"}[r.IntN(2)]
		payload := fmt.Sprintf(`{"case":"%d-%d","simulate":{"run":"%dms"}}`, caller, n, 1+r.IntN(40))
		e := l.sendRequest(host, cwcodec.Submission{Profile: profile, Team: "intake", Payload: json.RawMessage(payload)})
		l.addExchange(e)
		if e.Response.Outcome != string(cwmodel.OutcomeDone) {
			l.timer.Sleep(nil, retryPause)
		}
	}
}

// SendRequest sends one more request in the background. Stop returns its exchange with the others.
func (l *Load) SendRequest(host *EntryHost, profile, payload string) {
	l.callers.Go(func() {
		l.addExchange(l.sendRequest(host, cwcodec.Submission{Profile: profile, Team: "intake", Payload: json.RawMessage(payload)}))
	})
}

// sendRequest sends one request and returns its exchange. Without a valid response the exchange has an error.
func (l *Load) sendRequest(host *EntryHost, submission cwcodec.Submission) (e Exchange) {
	body, err := json.Marshal(submission)
	e = Exchange{Host: host.ID, Profile: submission.Profile, SentAt: l.timer.Now()}
	if err != nil {
		e.Err = err
		return e
	}
	var decoded cwcodec.Submission
	_ = json.Unmarshal(body, &decoded) // the payload as the host decodes it
	e.Payload = decoded.Payload
	_, response, err := l.client.Do(context.Background(), fasthttp.MethodPost, host.CallerAddr, cwfront.PathRequests, body)
	e.RespondedAt = l.timer.Now()
	switch {
	case err != nil:
		e.Err = err
	case json.Unmarshal(response, &e.Response) != nil || e.Response.Outcome == "":
		e.Err = cwfault.New(cwfault.Invalid, "response is not a result: %s", response)
	}
	return e
}

// addExchange records an exchange, and wakes AwaitDone if its outcome is done.
func (l *Load) addExchange(e Exchange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.exchanges = append(l.exchanges, e)
	if e.Response.Outcome == string(cwmodel.OutcomeDone) {
		l.doneCount.Add(1)
		close(l.doneChanged)
		l.doneChanged = make(chan struct{})
	}
}

// SendRequestFile sends each line of a file of requests once, to the hosts in rotation, and returns the exchanges.
func SendRequestFile(c *Cluster, hosts []*EntryHost, lines []byte) (exchanges []Exchange) {
	const concurrency = 16
	client, stop := cwhttp.NewClient(cwhttp.ClientOptions{Timeout: callerTimeout, MaxConnsPerHost: concurrency, MaxResponseBytes: 1 << 20})
	defer stop()
	requests := bytes.Split(bytes.TrimSpace(lines), []byte("\n"))
	exchanges = make([]Exchange, len(requests))
	var senders sync.WaitGroup
	next := atomic.Int64{}
	l := &Load{client: client, timer: c.opts.Timer}
	for range concurrency {
		senders.Go(func() {
			for n := int(next.Add(1)) - 1; n < len(requests); n = int(next.Add(1)) - 1 {
				var submission cwcodec.Submission
				if exchanges[n].Err = json.Unmarshal(requests[n], &submission); exchanges[n].Err == nil {
					exchanges[n] = l.sendRequest(hosts[n%len(hosts)], submission)
				}
			}
		})
	}
	senders.Wait()
	return exchanges
}
