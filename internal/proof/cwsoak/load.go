package cwsoak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"currantward/internal/base/cwhttp"
	"currantward/internal/base/cwtimer"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwwork"
	"currantward/internal/proof/cwprocess"
	"currantward/platform/cwstandin"
)

// Queues of the first configuration and of all later ones.
const (
	prefixPlain   = "/plain/"
	prefixAdvised = "/advised/"
)

// Times of a caller.
const (
	callTimeout = 3 * time.Second
	retryPause  = 300 * time.Millisecond
	mostTries   = 6
)

// job is what its caller knows of one job.
type job struct {
	*cwwork.Submission
	prefix string
	work   cwstandin.TaskSpec

	mu        sync.Mutex
	tries     int
	rejected  int       // tries that were refused for certain
	accepted  time.Time // zero until a success was seen
	cancelled time.Time // when the wish was first sent
	completed time.Time // when the end was first shown
	shown     cwwork.JobState
	gone      time.Time // when the job was said not to exist, after its acceptance
}

// load hands jobs in and asks about them until it is stopped.
type load struct {
	fleet *Cluster
	http  *cwhttp.Client
	ended sync.WaitGroup
	stop  atomic.Bool
	total atomic.Int64 // numbers the jobs
	mu    sync.Mutex
	jobs  map[cwmodel.JobID]*job
	calls []failure
	wrong []string // what callers have seen that must not be
	seed  uint64
}

// failure is a call without an answer, whether it left or not.
type failure struct {
	node *node
	sent time.Time
	err  error
}

// demandAnswers takes it for wrong if a call to a host within a time got no answer.
func (l *load) demandAnswers(n *node, from, to time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.calls {
		if c.node == n && c.sent.After(from) && c.sent.Before(to) {
			l.wrong = append(l.wrong, fmt.Sprintf("a call to %s at %s got no answer while it left gracefully: %v", n.name, c.sent.Format(clock), c.err))
		}
	}
}

// press calls a host from several callers at once until stop is called.
func (l *load) press(n *node) (stop func()) {
	const callers = 8
	var ended sync.WaitGroup
	var over atomic.Bool
	client := &cwstandin.Client{HTTP: l.http, Host: queueHost, Prefix: prefixPlain, Timeout: callTimeout}
	for range callers {
		ended.Go(func() {
			for !over.Load() {
				sent := cwtimer.WallTime()
				l.observe(n, sent, client.Lookup(n.settings.CallerListen, ""))
				l.fleet.opts.Timer.Sleep(nil, 5*time.Millisecond)
			}
		})
	}
	return func() {
		over.Store(true)
		ended.Wait()
	}
}

// observe notes a call without an answer.
func (l *load) observe(n *node, sent time.Time, a cwstandin.Response) {
	if a.Status != 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls = append(l.calls, failure{n, sent, a.Err})
}

// probe asks the hosts in turn which configuration is in force and takes it for wrong if it goes back on one of them.
func (l *load) probe() {
	client := &cwstandin.Client{HTTP: l.http, Host: queueHost, Timeout: callTimeout}
	seen := map[*cwprocess.Process]uint64{}
	for !l.stop.Load() {
		for _, n := range l.fleet.live() {
			process, present := n.process(), l.fleet.version.Load()
			for version := present; version+2 > present && version > 0; version-- {
				client.Prefix = versionPrefix(version)
				if a := client.Lookup(n.settings.CallerListen, ""); a.Status == 0 || a.Status == fasthttp.StatusNotFound || n.process() != process {
					continue
				}
				if version < seen[process] {
					l.mu.Lock()
					l.wrong = append(l.wrong, fmt.Sprintf("%s went back from configuration %d to %d", n.name, seen[process], version))
					l.mu.Unlock()
				}
				seen[process] = max(seen[process], version)
				break
			}
		}
		l.fleet.opts.Timer.Sleep(nil, 200*time.Millisecond)
	}
}

// startLoad starts callers that draw what they do from seed.
func startLoad(f *Cluster, callers int, seed uint64) (l *load, stop func()) {
	client, stopClient := newClient(callers)
	l = &load{fleet: f, http: client, jobs: map[cwmodel.JobID]*job{}, seed: seed}
	for n := range callers {
		l.ended.Go(func() { l.call(rand.New(rand.NewPCG(seed, uint64(n)))) })
	}
	l.ended.Go(l.probe)
	return l, func() {
		l.stop.Store(true)
		l.ended.Wait()
		stopClient()
	}
}

// newClient returns what a number of callers use, and the function that closes its connections.
func newClient(callers int) (c *cwhttp.Client, stop func()) {
	const perCaller = 8 // bursts are callers of their own
	return cwhttp.NewClient(cwhttp.ClientOptions{
		Timeout: callTimeout, MaxConnsPerHost: perCaller * callers, MaxResponseBytes: 1 << 20, MaxIdleConnection: 2 * time.Second, DialTimeout: time.Second,
	})
}

// call is one caller: it hands in one job after the other and looks at some of them.
func (l *load) call(r *rand.Rand) {
	for !l.stop.Load() {
		j := l.draw(r)
		l.submit(j, r)
		l.follow(j, r)
		l.fleet.opts.Timer.Sleep(nil, time.Duration(r.IntN(150))*time.Millisecond)
	}
}

// burst hands in many jobs at once.
func (l *load) burst(n int, r *rand.Rand) {
	for range n {
		j, own := l.draw(r), rand.New(rand.NewPCG(r.Uint64(), 0))
		l.ended.Go(func() { l.submit(j, own) })
	}
}

// cancelWave cancels a part of the jobs that are not known to have ended.
func (l *load) cancelWave(r *rand.Rand) {
	for _, j := range l.list() {
		if j.open() && r.IntN(3) == 0 {
			own := rand.New(rand.NewPCG(r.Uint64(), 0))
			l.ended.Go(func() { l.cancel(j, own) })
		}
	}
}

func (l *load) list() (jobs []*job) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, j := range l.jobs {
		jobs = append(jobs, j)
	}
	return jobs
}

// open reports whether the job was accepted and nothing is known of its end.
func (j *job) open() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return !j.accepted.IsZero() && j.cancelled.IsZero() && !j.shown.IsFinal()
}

// draw makes a job.
func (l *load) draw(r *rand.Rand) *job {
	number := l.total.Add(1)
	j := &job{prefix: prefixPlain, Submission: &cwwork.Submission{ID: cwmodel.JobID(fmt.Sprintf("%08x%08x", uint32(l.seed), uint32(number)))}}
	j.work.Duration = time.Duration(20+r.IntN(500)) * time.Millisecond
	step := func() cwwork.Step {
		return cwwork.Step{
			Count: 1 + r.IntN(4), Demand: cwmodel.Resources{MilliProcessors: int64(250 + r.IntN(3000)), MemoryBytes: int64(64+r.IntN(512)) << 20},
			Estimate: j.work.Duration,
		}
	}
	j.Steps = []cwwork.Step{step()}
	switch r.IntN(10) {
	case 0, 1:
		second, third := step(), step()
		second.DependsOn, third.DependsOn = []int{0}, []int{0, 1}
		j.Steps = append(j.Steps, second, third)
	case 2:
		j.Steps[0].Gang, j.Steps[0].Count = true, 2+r.IntN(6)
	case 3:
		j.work.FailureRate = 0.3
	case 4:
		j.Steps[0].MaxPerWorker = 1
	case 5:
		j.Repeats, j.Interval, j.FirstDue = 1+r.IntN(3), 400*time.Millisecond, cwtimer.WallTime().Add(time.Duration(r.IntN(1500))*time.Millisecond)
	case 6:
		j.work.RunForever, j.Steps[0].LongRunning, j.Steps[0].Demand.MilliProcessors = true, true, 200
	case 7:
		j.Steps[0].RequiredLabel = "fast"
	}
	if r.IntN(4) == 0 {
		j.prefix, j.work.RequiresTicket = prefixAdvised, true
	}
	payload, err := json.Marshal(j.work)
	if err != nil {
		panic(err) // a struct of plain fields
	}
	j.Payload = string(payload)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs[j.ID] = j
	return j
}

// client returns what calls the queue of a job.
func (l *load) client(j *job) *cwstandin.Client {
	return &cwstandin.Client{HTTP: l.http, Host: queueHost, Prefix: j.prefix, Timeout: callTimeout}
}

// anyHost returns some entry host.
func (l *load) anyHost(r *rand.Rand) *node {
	nodes := l.fleet.live()
	return nodes[r.IntN(len(nodes))]
}

// submit hands a job in until it is accepted or the caller gives up, and sometimes once more after that.
func (l *load) submit(j *job, r *rand.Rand) {
	for range mostTries {
		n, sent := l.anyHost(r), cwtimer.WallTime()
		a := l.client(j).Submit(n.address(), j.Submission)
		l.observe(n, sent, a)
		now := cwtimer.WallTime()
		j.mu.Lock()
		j.tries++
		switch {
		case a.Rejected():
			j.rejected++
		case a.Succeeded() && j.accepted.IsZero():
			j.accepted = now
		}
		j.mu.Unlock()
		if a.Succeeded() {
			break
		}
		l.fleet.opts.Timer.Sleep(nil, retryPause)
	}
	if r.IntN(8) == 0 && j.open() {
		l.client(j).Submit(l.anyHost(r).address(), j.Submission)
	}
}

// follow looks at a job for a while, or cancels it.
func (l *load) follow(j *job, r *rand.Rand) {
	if j.work.RunForever || r.IntN(12) == 0 {
		l.fleet.opts.Timer.Sleep(nil, time.Duration(r.IntN(2000))*time.Millisecond)
		l.cancel(j, r)
		return
	}
	for range r.IntN(5) {
		l.fleet.opts.Timer.Sleep(nil, j.work.Duration)
		l.look(j, l.anyHost(r))
	}
}

// look asks one host for the state of a job and notes the answer.
func (l *load) look(j *job, n *node) cwstandin.Response {
	sent := cwtimer.WallTime()
	a := l.client(j).Lookup(n.address(), j.ID)
	l.observe(n, sent, a)
	now := cwtimer.WallTime()
	j.mu.Lock()
	defer j.mu.Unlock()
	switch {
	case a.NotFound() && !j.accepted.IsZero() && j.cancelled.IsZero() && j.gone.IsZero():
		j.gone = now
	case a.Succeeded():
		if a.State == cwwork.StateCompleted && j.completed.IsZero() {
			j.completed = now
		}
		if !j.shown.IsFinal() {
			j.shown = a.State
		}
	}
	return a
}

// cancel cancels a job until that is acknowledged or the caller gives up.
func (l *load) cancel(j *job, r *rand.Rand) {
	j.mu.Lock()
	if j.cancelled.IsZero() {
		j.cancelled = cwtimer.WallTime()
	}
	j.mu.Unlock()
	for range mostTries {
		if a := l.client(j).Cancel(l.anyHost(r).address(), j.ID); a.Succeeded() || a.NotFound() {
			return
		}
		l.fleet.opts.Timer.Sleep(nil, retryPause)
	}
}
