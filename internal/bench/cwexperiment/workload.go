package cwexperiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwpolicy"
)

// Stream is a Poisson stream of tasks of one profile.
type Stream struct {
	Profile      cwpolicy.Profile
	ArrivalRate  float64
	RunTime      time.Duration // mean
	RunTimeSigma float64       // sigma of the logarithm of the run time
	From, To     time.Duration // when tasks arrive; zero To means until the end
	GangSize     int           // tasks that start together; zero for single tasks
	UsageRatio   float64       // processors and memory in use over the declared ones; zero means 1
}

// Scenario is a fleet with its profiles, teams and usual load.
type Scenario struct {
	Name     string
	Workers  []cwmodel.Worker
	Teams    int
	Streams  []Stream
	Duration time.Duration
	WarmUp   time.Duration // tasks that arrive earlier are not counted
	Cooldown time.Duration // how long a run goes on after the last arrival

	// InjectFault says whether an attempt fails, and after which part of its run time; nil means that none does.
	InjectFault func(on cwmodel.HostID, profile cwmodel.ProfileName, at time.Duration, draw float64) (part float64, fails bool)
}

const gib = int64(1) << 30

// resources is shorthand for processors, memory in GiB, accelerators, slots and connections.
func resources(processors float64, memory, accelerators, slots, connections int64) cwmodel.Resources {
	return cwmodel.Resources{
		MilliProcessors: int64(processors * 1000), MemoryBytes: memory * gib, Accelerators: accelerators, Slots: slots, Connections: connections,
	}
}

// fleet returns count workers of one capacity, eight to a rack.
func fleet(prefix string, count int, capacity cwmodel.Resources) (workers []cwmodel.Worker) {
	const perRack = 8
	for n := range count {
		workers = append(workers, cwmodel.Worker{
			ID: cwmodel.HostID(fmt.Sprintf("%s-%04d", prefix, n)), Rack: fmt.Sprintf("%s-rack-%03d", prefix, n/perRack), Capacity: capacity,
		})
	}
	return workers
}

// settings are the parts of a profile in which the experiments differ.
type settings struct {
	name       string
	kind       cwmodel.Kind
	class      cwmodel.Class
	guaranteed float64
	deadline   time.Duration
	demand     cwmodel.Resources
	once       bool // not repeatable
	checkpoint bool
}

func (s settings) profile() cwpolicy.Profile {
	p := cwpolicy.Profile{
		Name: cwmodel.ProfileName(s.name), Kind: s.kind, Class: s.class, Weight: 1, GuaranteedShare: s.guaranteed, Ceiling: 1, QueueLimit: 20_000,
		Deadline: s.deadline, Lease: 10 * time.Second, MaxAttempts: 3, Repeatable: !s.once, Checkpointable: s.checkpoint, Demand: s.demand,
	}
	if s.once {
		p.MaxAttempts = 1
	}
	return p
}

// Nilecraft returns the repair portal: 50 runners of 8 slots on workers of 64 processors.
func Nilecraft() Scenario {
	request, batch := cwmodel.KindRequest, cwmodel.KindBatch
	return Scenario{
		Name: "nilecraft", Workers: fleet("runner", 50, resources(64, 256, 0, 8, 60)), Teams: 6, Duration: 60 * time.Second, WarmUp: 10 * time.Second, Cooldown: 3 * time.Minute,
		Streams: []Stream{
			{Profile: settings{name: "diagnostics", kind: request, class: cwmodel.ClassUrgent, guaranteed: 0.35, deadline: 2 * time.Second, demand: resources(4, 8, 0, 1, 2)}.profile(),
				ArrivalRate: 350, RunTime: 300 * time.Millisecond, RunTimeSigma: 0.5},
			{Profile: settings{name: "battery-reports", kind: request, class: cwmodel.ClassStandard, guaranteed: 0.3, deadline: 20 * time.Second, demand: resources(8, 24, 0, 1, 2)}.profile(),
				ArrivalRate: 50, RunTime: 2 * time.Second, RunTimeSigma: 0.5},
			{Profile: settings{name: "parts-lookups", kind: request, class: cwmodel.ClassStandard, guaranteed: 0.1, deadline: time.Second, demand: resources(1, 2, 0, 1, 1)}.profile(),
				ArrivalRate: 300, RunTime: 80 * time.Millisecond, RunTimeSigma: 0.4},
			{Profile: settings{name: "parts-orders", kind: request, class: cwmodel.ClassStandard, guaranteed: 0.02, deadline: 10 * time.Second, demand: resources(1, 2, 0, 1, 1), once: true}.profile(),
				ArrivalRate: 10, RunTime: 200 * time.Millisecond, RunTimeSigma: 0.3},
			{Profile: settings{name: "fleet-analysis", kind: batch, class: cwmodel.ClassBestEffort, guaranteed: 0.05, demand: resources(16, 32, 0, 1, 0), checkpoint: true}.profile(),
				ArrivalRate: 4, RunTime: 30 * time.Second, RunTimeSigma: 0.3},
		},
	}
}

// Kameelboom returns the form helper: 50 runners of 8 slots on workers of 16 processors.
func Kameelboom() Scenario {
	request := cwmodel.KindRequest
	return Scenario{
		Name: "kameelboom", Workers: fleet("runner", 50, resources(16, 64, 0, 8, 60)), Teams: 2, Duration: 60 * time.Second, WarmUp: 10 * time.Second, Cooldown: 3 * time.Minute,
		Streams: []Stream{
			{Profile: settings{name: "bundles", kind: request, class: cwmodel.ClassStandard, guaranteed: 0.4, deadline: 15 * time.Second, demand: resources(2, 6, 0, 1, 2)}.profile(),
				ArrivalRate: 55, RunTime: 2500 * time.Millisecond, RunTimeSigma: 0.5},
			{Profile: settings{name: "draft-checks", kind: request, class: cwmodel.ClassUrgent, guaranteed: 0.27, deadline: 2 * time.Second, demand: resources(1, 2, 0, 1, 1)}.profile(),
				ArrivalRate: 360, RunTime: 250 * time.Millisecond, RunTimeSigma: 0.5},
			{Profile: settings{name: "filings", kind: request, class: cwmodel.ClassStandard, guaranteed: 0.01, deadline: 20 * time.Second, demand: resources(1, 1, 0, 1, 1), once: true}.profile(),
				ArrivalRate: 5, RunTime: 500 * time.Millisecond, RunTimeSigma: 0.3},
			{Profile: settings{name: "page-renders", kind: request, class: cwmodel.ClassBestEffort, guaranteed: 0.31, deadline: 30 * time.Second, demand: resources(2, 3, 0, 1, 1)}.profile(),
				ArrivalRate: 140, RunTime: 800 * time.Millisecond, RunTimeSigma: 0.6},
		},
	}
}

// TargetScale returns the size of the first letter: 700 workers, 780 accelerators, 85 teams, about 4,300 tasks running.
func TargetScale() Scenario {
	workers := append(fleet("plain", 505, resources(64, 256, 0, 64, 240)), fleet("accel", 195, resources(64, 256, 4, 64, 240))...)
	return Scenario{
		Name: "letter", Workers: workers, Teams: 85, Duration: 10 * time.Minute, WarmUp: 5 * time.Minute, Cooldown: 15 * time.Minute,
		Streams: []Stream{
			{Profile: settings{name: "urgent", kind: cwmodel.KindRequest, class: cwmodel.ClassUrgent, guaranteed: 0.1, deadline: 10 * time.Second, demand: resources(2, 4, 0, 1, 1)}.profile(),
				ArrivalRate: 20, RunTime: 2 * time.Second, RunTimeSigma: 0.6},
			{Profile: settings{name: "standard", kind: cwmodel.KindRequest, class: cwmodel.ClassStandard, guaranteed: 0.2, deadline: 60 * time.Second, demand: resources(4, 16, 0, 1, 1)}.profile(),
				ArrivalRate: 16, RunTime: 10 * time.Second, RunTimeSigma: 0.6},
			{Profile: settings{name: "services", kind: cwmodel.KindService, class: cwmodel.ClassStandard, guaranteed: 0.2, demand: resources(8, 32, 0, 1, 8)}.profile(),
				ArrivalRate: 8.6, RunTime: 1000 * time.Hour, To: 100 * time.Second},
			{Profile: settings{name: "training", kind: cwmodel.KindBatch, class: cwmodel.ClassBatch, guaranteed: 0.1, demand: resources(8, 32, 1, 1, 1), checkpoint: true}.profile(),
				ArrivalRate: 3, RunTime: 200 * time.Second, RunTimeSigma: 0.5},
			{Profile: settings{name: "batch", kind: cwmodel.KindBatch, class: cwmodel.ClassBatch, guaranteed: 0.1, demand: resources(8, 28, 0, 1, 1), checkpoint: true}.profile(),
				ArrivalRate: 9, RunTime: 290 * time.Second, RunTimeSigma: 0.5},
			{Profile: settings{name: "gangs", kind: cwmodel.KindGang, class: cwmodel.ClassBatch, guaranteed: 0.05, demand: resources(8, 32, 0, 1, 1)}.profile(),
				ArrivalRate: 0.1, RunTime: 60 * time.Second, RunTimeSigma: 0.3, GangSize: 16},
		},
	}
}

// Mixed returns a saturated fleet of the letter's size with tasks of very unlike shapes, to measure packing.
func Mixed() Scenario {
	workers := append(fleet("plain", 505, resources(64, 256, 0, 64, 240)), fleet("accel", 195, resources(64, 256, 4, 64, 240))...)
	stream := func(name string, perSec float64, demand cwmodel.Resources) Stream {
		s := settings{name: name, kind: cwmodel.KindBatch, class: cwmodel.ClassBatch, demand: demand, checkpoint: true}
		return Stream{Profile: s.profile(), ArrivalRate: perSec, RunTime: 60 * time.Second, RunTimeSigma: 0.5}
	}
	return Scenario{
		Name: "mixed", Workers: workers, Teams: 85, Duration: 4 * time.Minute, WarmUp: 2 * time.Minute,
		Streams: []Stream{
			stream("small", 156, resources(1, 3, 0, 1, 1)),
			stream("medium", 65, resources(5, 18, 0, 1, 1)),
			stream("large", 18, resources(22, 60, 0, 1, 1)),
			stream("memory", 21, resources(3, 50, 0, 1, 1)),
			stream("accelerated", 18, resources(9, 30, 1, 1, 1)),
		},
	}
}

// maxFlood bounds the tasks of one flood.
const maxFlood = 400_000

// WithFlood returns the deployment with a stream that asks for times the whole fleet in the middle of the run.
func (d Scenario) WithFlood(profile cwmodel.ProfileName, times float64) Scenario {
	var total cwmodel.Resources
	for _, w := range d.Workers {
		total = total.Add(w.Capacity)
	}
	for _, s := range d.Streams {
		if s.Profile.Name != profile {
			continue
		}
		flood := s
		flood.ArrivalRate = times / (s.Profile.Demand.DominantShare(total) * s.RunTime.Seconds())
		lasts := min(d.Duration*2/5, time.Duration(maxFlood/flood.ArrivalRate*float64(time.Second)))
		flood.From = d.WarmUp + d.Duration/10
		flood.To = flood.From + lasts
		d.Streams = append(append([]Stream{}, d.Streams...), flood)
		return d
	}
	return d
}

// WithUsageRatio returns the deployment with tasks that use a multiple of what they declare.
func (d Scenario) WithUsageRatio(actual float64) Scenario {
	d.Streams = append([]Stream{}, d.Streams...)
	for n := range d.Streams {
		d.Streams[n].UsageRatio = actual
	}
	return d
}

// inUse returns what a task of this stream uses of its declared size.
func (s Stream) inUse(declared cwmodel.Resources) cwmodel.Resources {
	if s.UsageRatio > 0 {
		declared.MilliProcessors = int64(float64(declared.MilliProcessors) * s.UsageRatio)
		declared.MemoryBytes = int64(float64(declared.MemoryBytes) * s.UsageRatio)
	}
	return declared
}

// configuration returns the profiles and teams of a deployment.
func (d Scenario) configuration() cwpolicy.Configuration {
	cfg := cwpolicy.Configuration{Version: 1}
	seen := map[cwmodel.ProfileName]bool{}
	for _, s := range d.Streams {
		if !seen[s.Profile.Name] {
			seen[s.Profile.Name] = true
			cfg.Profiles = append(cfg.Profiles, s.Profile)
		}
	}
	for n := range d.Teams {
		cfg.Teams = append(cfg.Teams, cwpolicy.Team{Name: teamName(n), Weight: 1})
	}
	return cfg
}

func teamName(n int) cwmodel.TeamName { return cwmodel.TeamName(fmt.Sprintf("team-%02d", n)) }

// source draws the tasks of one stream; its draws do not depend on any other stream.
type source struct {
	Stream
	random *rand.Rand
	teams  int
	number int
	count  int
}

func (s *source) gap() time.Duration {
	return time.Duration(s.random.ExpFloat64() / s.ArrivalRate * float64(time.Second))
}

// next returns one task and its true run time.
func (s *source) next(now time.Time) (t cwmodel.Task, run time.Duration) {
	s.count++
	p := s.Profile
	t = cwmodel.Task{
		ID: cwmodel.TaskID(fmt.Sprintf("%d-%d", s.number, s.count)), Attempt: 1, Profile: p.Name, Team: teamName(s.random.IntN(s.teams)), Kind: p.Kind,
		Demand: p.Demand, ArrivedAt: now, Lease: p.Lease, MaxAttempts: p.MaxAttempts, Repeatable: p.Repeatable, Checkpointable: p.Checkpointable,
	}
	if p.Deadline > 0 {
		t.Deadline = now.Add(p.Deadline)
	}
	scale := math.Exp(s.random.NormFloat64()*s.RunTimeSigma - s.RunTimeSigma*s.RunTimeSigma/2)
	return t, max(time.Duration(float64(s.RunTime)*scale), time.Millisecond)
}
