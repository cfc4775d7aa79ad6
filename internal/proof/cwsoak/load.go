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

// Path prefixes of the queues that every version of the configuration has.
const (
	prefixPlain   = "/plain/"
	prefixAdvised = "/advised/"
)

// Timing and retries of a caller.
const (
	callTimeout = 3 * time.Second
	retryPause  = 300 * time.Millisecond
	maxTries    = 6
)

// job is the state that its caller keeps for one job.
type job struct {
	*cwwork.Submission
	prefix string
	spec   cwstandin.TaskSpec

	mu            sync.Mutex
	submitCount   int
	rejectedCount int       // submissions that were certainly rejected
	acceptedAt    time.Time // zero until a submission succeeded
	cancelledAt   time.Time // when the first request to cancel was sent
	completedAt   time.Time // when completion was first reported
	state         cwwork.JobState
	notFoundAt    time.Time // when a lookup first returned not found after acceptance
}

// load submits, looks up and cancels jobs until it is stopped.
type load struct {
	cluster     *Cluster
	http        *cwhttp.Client
	callers     sync.WaitGroup
	stop        atomic.Bool
	jobCount    atomic.Int64 // gives each job its number
	mu          sync.Mutex
	jobs        map[cwmodel.JobID]*job
	failedCalls []failedCall
	violations  []string // found by callers
	seed        uint64
}

// failedCall is a call without a response, whether or not it was sent.
type failedCall struct {
	node   *node
	sentAt time.Time
	err    error
}

// requireResponses records a violation for each call to a host that was sent within a period and received no response.
func (l *load) requireResponses(n *node, from, to time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.failedCalls {
		if c.node == n && c.sentAt.After(from) && c.sentAt.Before(to) {
			l.violations = append(l.violations, fmt.Sprintf("call to %s at %s received no response during its graceful shutdown: %v", n.name, c.sentAt.Format(clockLayout), c.err))
		}
	}
}

// startPressure calls a host continuously from several callers until stop is called.
func (l *load) startPressure(n *node) (stop func()) {
	const callers = 8
	var running sync.WaitGroup
	var stopped atomic.Bool
	client := &cwstandin.Client{HTTP: l.http, Host: queueHost, Prefix: prefixPlain, Timeout: callTimeout}
	for range callers {
		running.Go(func() {
			for !stopped.Load() {
				sentAt := cwtimer.WallTime()
				l.recordFailure(n, sentAt, client.Lookup(n.settings.CallerListen, ""))
				l.cluster.opts.Timer.Sleep(nil, 5*time.Millisecond)
			}
		})
	}
	return func() {
		stopped.Store(true)
		running.Wait()
	}
}

// recordFailure records a call if it received no response.
func (l *load) recordFailure(n *node, sentAt time.Time, response cwstandin.Response) {
	if response.Status != 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failedCalls = append(l.failedCalls, failedCall{n, sentAt, response.Err})
}

// probeConfigurations polls the hosts for the configuration version that they use, and records a violation if a process returns to an
// older one.
func (l *load) probeConfigurations() {
	client := &cwstandin.Client{HTTP: l.http, Host: queueHost, Timeout: callTimeout}
	seen := map[*cwprocess.Process]uint64{}
	for !l.stop.Load() {
		for _, n := range l.cluster.liveNodes() {
			process, newest := n.process(), l.cluster.version.Load()
			for version := newest; version+2 > newest && version > 0; version-- {
				client.Prefix = versionPrefix(version)
				if response := client.Lookup(n.settings.CallerListen, ""); response.Status == 0 || response.Status == fasthttp.StatusNotFound || n.process() != process {
					continue
				}
				if version < seen[process] {
					l.mu.Lock()
					l.violations = append(l.violations, fmt.Sprintf("%s went back from configuration %d to %d", n.name, seen[process], version))
					l.mu.Unlock()
				}
				seen[process] = max(seen[process], version)
				break
			}
		}
		l.cluster.opts.Timer.Sleep(nil, 200*time.Millisecond)
	}
}

// startLoad starts callers that draw their jobs and pauses from seed.
func startLoad(cluster *Cluster, callers int, seed uint64) (l *load, stop func()) {
	client, stopClient := newClient(callers)
	l = &load{cluster: cluster, http: client, jobs: map[cwmodel.JobID]*job{}, seed: seed}
	for n := range callers {
		l.callers.Go(func() { l.runCaller(rand.New(rand.NewPCG(seed, uint64(n)))) })
	}
	l.callers.Go(l.probeConfigurations)
	return l, func() {
		l.stop.Store(true)
		l.callers.Wait()
		stopClient()
	}
}

// newClient returns a client with enough connections for a number of callers, and the function that closes them.
func newClient(callers int) (c *cwhttp.Client, stop func()) {
	const perCaller = 8 // bursts submit from goroutines of their own
	return cwhttp.NewClient(cwhttp.ClientOptions{
		Timeout: callTimeout, MaxConnsPerHost: perCaller * callers, MaxResponseBytes: 1 << 20, MaxIdleConnection: 2 * time.Second, DialTimeout: time.Second,
	})
}

// runCaller runs one caller, which submits one job after the other and looks up some of them.
func (l *load) runCaller(r *rand.Rand) {
	for !l.stop.Load() {
		j := l.newJob(r)
		l.submit(j, r)
		l.followJob(j, r)
		l.cluster.opts.Timer.Sleep(nil, time.Duration(r.IntN(150))*time.Millisecond)
	}
}

// submitBurst submits many jobs at the same time.
func (l *load) submitBurst(n int, r *rand.Rand) {
	for range n {
		j, own := l.newJob(r), rand.New(rand.NewPCG(r.Uint64(), 0))
		l.callers.Go(func() { l.submit(j, own) })
	}
}

// cancelWave cancels about a third of the open jobs.
func (l *load) cancelWave(r *rand.Rand) {
	for _, j := range l.allJobs() {
		if j.isOpen() && r.IntN(3) == 0 {
			own := rand.New(rand.NewPCG(r.Uint64(), 0))
			l.callers.Go(func() { l.cancel(j, own) })
		}
	}
}

func (l *load) allJobs() (jobs []*job) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, j := range l.jobs {
		jobs = append(jobs, j)
	}
	return jobs
}

// isOpen reports whether the job was accepted, was not cancelled, and is not known to have ended.
func (j *job) isOpen() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return !j.acceptedAt.IsZero() && j.cancelledAt.IsZero() && !j.state.IsFinal()
}

// newJob draws a random job.
func (l *load) newJob(r *rand.Rand) *job {
	number := l.jobCount.Add(1)
	j := &job{prefix: prefixPlain, Submission: &cwwork.Submission{ID: cwmodel.JobID(fmt.Sprintf("%08x%08x", uint32(l.seed), uint32(number)))}}
	j.spec.Duration = time.Duration(20+r.IntN(500)) * time.Millisecond
	step := func() cwwork.Step {
		return cwwork.Step{
			Count: 1 + r.IntN(4), Demand: cwmodel.Resources{MilliProcessors: int64(250 + r.IntN(3000)), MemoryBytes: int64(64+r.IntN(512)) << 20},
			Estimate: j.spec.Duration,
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
		j.spec.FailureRate = 0.3
	case 4:
		j.Steps[0].MaxPerWorker = 1
	case 5:
		j.Repeats, j.Interval, j.FirstDue = 1+r.IntN(3), 400*time.Millisecond, cwtimer.WallTime().Add(time.Duration(r.IntN(1500))*time.Millisecond)
	case 6:
		j.spec.RunForever, j.Steps[0].LongRunning, j.Steps[0].Demand.MilliProcessors = true, true, 200
	case 7:
		j.Steps[0].RequiredLabel = "fast"
	}
	if r.IntN(4) == 0 {
		j.prefix, j.spec.RequiresTicket = prefixAdvised, true
	}
	payload, err := json.Marshal(j.spec)
	if err != nil {
		panic(err) // a struct of plain fields always encodes
	}
	j.Payload = string(payload)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs[j.ID] = j
	return j
}

// client returns a client for the queue of a job.
func (l *load) client(j *job) *cwstandin.Client {
	return &cwstandin.Client{HTTP: l.http, Host: queueHost, Prefix: j.prefix, Timeout: callTimeout}
}

// anyHost returns a random entry host.
func (l *load) anyHost(r *rand.Rand) *node {
	nodes := l.cluster.liveNodes()
	return nodes[r.IntN(len(nodes))]
}

// submit submits a job until it is accepted or maxTries is reached. It sometimes submits an accepted job once more.
func (l *load) submit(j *job, r *rand.Rand) {
	for range maxTries {
		n, sentAt := l.anyHost(r), cwtimer.WallTime()
		response := l.client(j).Submit(n.address(), j.Submission)
		l.recordFailure(n, sentAt, response)
		now := cwtimer.WallTime()
		j.mu.Lock()
		j.submitCount++
		switch {
		case response.Rejected():
			j.rejectedCount++
		case response.Succeeded() && j.acceptedAt.IsZero():
			j.acceptedAt = now
		}
		j.mu.Unlock()
		if response.Succeeded() {
			break
		}
		l.cluster.opts.Timer.Sleep(nil, retryPause)
	}
	if r.IntN(8) == 0 && j.isOpen() {
		l.client(j).Submit(l.anyHost(r).address(), j.Submission)
	}
}

// followJob looks a job up a few times, or cancels it.
func (l *load) followJob(j *job, r *rand.Rand) {
	if j.spec.RunForever || r.IntN(12) == 0 {
		l.cluster.opts.Timer.Sleep(nil, time.Duration(r.IntN(2000))*time.Millisecond)
		l.cancel(j, r)
		return
	}
	for range r.IntN(5) {
		l.cluster.opts.Timer.Sleep(nil, j.spec.Duration)
		l.lookup(j, l.anyHost(r))
	}
}

// lookup queries one host for the state of a job and records the response.
func (l *load) lookup(j *job, n *node) cwstandin.Response {
	sentAt := cwtimer.WallTime()
	response := l.client(j).Lookup(n.address(), j.ID)
	l.recordFailure(n, sentAt, response)
	now := cwtimer.WallTime()
	j.mu.Lock()
	defer j.mu.Unlock()
	switch {
	case response.NotFound() && !j.acceptedAt.IsZero() && j.cancelledAt.IsZero() && j.notFoundAt.IsZero():
		j.notFoundAt = now
	case response.Succeeded():
		if response.State == cwwork.StateCompleted && j.completedAt.IsZero() {
			j.completedAt = now
		}
		if !j.state.IsFinal() {
			j.state = response.State
		}
	}
	return response
}

// cancel cancels a job until a host acknowledges it or maxTries is reached.
func (l *load) cancel(j *job, r *rand.Rand) {
	j.mu.Lock()
	if j.cancelledAt.IsZero() {
		j.cancelledAt = cwtimer.WallTime()
	}
	j.mu.Unlock()
	for range maxTries {
		if response := l.client(j).Cancel(l.anyHost(r).address(), j.ID); response.Succeeded() || response.NotFound() {
			return
		}
		l.cluster.opts.Timer.Sleep(nil, retryPause)
	}
}
