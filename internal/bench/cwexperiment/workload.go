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
	ArrivalRate  float64       // tasks a second, or gangs a second
	RunTime      time.Duration // mean
	RunTimeSigma float64       // sigma of the logarithm of the run time
	From, To     time.Duration // interval of arrivals; zero To means until the end
	GangSize     int           // tasks that start together; zero for single tasks
	UsageRatio   float64       // actual over declared processors and memory; zero means 1
}

// Scenario is a simulated fleet with the streams of tasks that are its load.
type Scenario struct {
	Name     string
	Workers  []cwmodel.Worker
	Teams    int // number of teams of equal weight that submit the tasks
	Streams  []Stream
	Duration time.Duration // time in which tasks arrive, including the warm-up
	WarmUp   time.Duration // tasks that arrive earlier are not counted
	Cooldown time.Duration // how long a run continues after the last arrival

	// InjectFault reports whether an attempt on a worker fails, and after which fraction of its run time. The attempt starts when
	// elapsed has passed since the start of the run; draw is uniform in [0, 1). Nil injects no faults.
	InjectFault func(worker cwmodel.HostID, profile cwmodel.ProfileName, elapsed time.Duration, draw float64) (fraction float64, fails bool)
}

const gib = int64(1) << 30

// resources returns a demand or a capacity. Its arguments are, in this order, processors, memory in GiB, accelerators, task slots and network
// connections.
func resources(processors float64, memory, accelerators, slots, connections int64) cwmodel.Resources {
	return cwmodel.Resources{
		MilliProcessors: int64(processors * 1000), MemoryBytes: memory * gib, Accelerators: accelerators, Slots: slots, Connections: connections,
	}
}

// newWorkers returns count workers of the same capacity, eight to a rack.
func newWorkers(prefix string, count int, capacity cwmodel.Resources) (workers []cwmodel.Worker) {
	const perRack = 8
	for n := range count {
		workers = append(workers, cwmodel.Worker{
			ID: cwmodel.HostID(fmt.Sprintf("%s-%04d", prefix, n)), Rack: fmt.Sprintf("%s-rack-%03d", prefix, n/perRack), Capacity: capacity,
		})
	}
	return workers
}

// profileSpec is the fields of a profile in which the experiments differ.
type profileSpec struct {
	name            string
	kind            cwmodel.Kind
	class           cwmodel.Class
	guaranteedShare float64       // share of the fleet, 0 to 1
	deadline        time.Duration // from arrival; zero means none
	demand          cwmodel.Resources
	nonRepeatable   bool
	checkpointable  bool
}

// profile returns the whole profile. One that must not be repeated has a single attempt.
func (s profileSpec) profile() cwpolicy.Profile {
	p := cwpolicy.Profile{
		Name: cwmodel.ProfileName(s.name), Kind: s.kind, Class: s.class, Weight: 1, GuaranteedShare: s.guaranteedShare, Ceiling: 1, QueueLimit: 20_000,
		Deadline: s.deadline, Lease: 10 * time.Second, MaxAttempts: 3, Repeatable: !s.nonRepeatable, Checkpointable: s.checkpointable, Demand: s.demand,
	}
	if s.nonRepeatable {
		p.MaxAttempts = 1
	}
	return p
}

// Nilecraft returns the scenario "nilecraft", the load of a repair portal: short interactive requests, orders that must not be repeated, and
// batch analysis that can be checkpointed. The 50 workers have 64 processors, 256 GiB, no accelerators, 8 slots
// and 60 connections each.
func Nilecraft() Scenario {
	request, batch := cwmodel.KindRequest, cwmodel.KindBatch
	return Scenario{
		Name: "nilecraft", Workers: newWorkers("runner", 50, resources(64, 256, 0, 8, 60)), Teams: 6, Duration: 60 * time.Second, WarmUp: 10 * time.Second, Cooldown: 3 * time.Minute,
		Streams: []Stream{
			{Profile: profileSpec{name: "diagnostics", kind: request, class: cwmodel.ClassUrgent, guaranteedShare: 0.35, deadline: 2 * time.Second, demand: resources(4, 8, 0, 1, 2)}.profile(),
				ArrivalRate: 350, RunTime: 300 * time.Millisecond, RunTimeSigma: 0.5},
			{Profile: profileSpec{name: "battery-reports", kind: request, class: cwmodel.ClassStandard, guaranteedShare: 0.3, deadline: 20 * time.Second, demand: resources(8, 24, 0, 1, 2)}.profile(),
				ArrivalRate: 50, RunTime: 2 * time.Second, RunTimeSigma: 0.5},
			{Profile: profileSpec{name: "parts-lookups", kind: request, class: cwmodel.ClassStandard, guaranteedShare: 0.1, deadline: time.Second, demand: resources(1, 2, 0, 1, 1)}.profile(),
				ArrivalRate: 300, RunTime: 80 * time.Millisecond, RunTimeSigma: 0.4},
			{Profile: profileSpec{name: "parts-orders", kind: request, class: cwmodel.ClassStandard, guaranteedShare: 0.02, deadline: 10 * time.Second, demand: resources(1, 2, 0, 1, 1), nonRepeatable: true}.profile(),
				ArrivalRate: 10, RunTime: 200 * time.Millisecond, RunTimeSigma: 0.3},
			{Profile: profileSpec{name: "fleet-analysis", kind: batch, class: cwmodel.ClassBestEffort, guaranteedShare: 0.05, demand: resources(16, 32, 0, 1, 0), checkpointable: true}.profile(),
				ArrivalRate: 4, RunTime: 30 * time.Second, RunTimeSigma: 0.3},
		},
	}
}

// Kameelboom returns the scenario "kameelboom", the load of a form helper: only requests, from urgent checks to best-effort page renders, and
// filings that must not be repeated. The 50 workers have 16 processors, 64 GiB, 8 slots and 60 connections each.
func Kameelboom() Scenario {
	request := cwmodel.KindRequest
	return Scenario{
		Name: "kameelboom", Workers: newWorkers("runner", 50, resources(16, 64, 0, 8, 60)), Teams: 2, Duration: 60 * time.Second, WarmUp: 10 * time.Second, Cooldown: 3 * time.Minute,
		Streams: []Stream{
			{Profile: profileSpec{name: "bundles", kind: request, class: cwmodel.ClassStandard, guaranteedShare: 0.4, deadline: 15 * time.Second, demand: resources(2, 6, 0, 1, 2)}.profile(),
				ArrivalRate: 55, RunTime: 2500 * time.Millisecond, RunTimeSigma: 0.5},
			{Profile: profileSpec{name: "draft-checks", kind: request, class: cwmodel.ClassUrgent, guaranteedShare: 0.27, deadline: 2 * time.Second, demand: resources(1, 2, 0, 1, 1)}.profile(),
				ArrivalRate: 360, RunTime: 250 * time.Millisecond, RunTimeSigma: 0.5},
			{Profile: profileSpec{name: "filings", kind: request, class: cwmodel.ClassStandard, guaranteedShare: 0.01, deadline: 20 * time.Second, demand: resources(1, 1, 0, 1, 1), nonRepeatable: true}.profile(),
				ArrivalRate: 5, RunTime: 500 * time.Millisecond, RunTimeSigma: 0.3},
			{Profile: profileSpec{name: "page-renders", kind: request, class: cwmodel.ClassBestEffort, guaranteedShare: 0.31, deadline: 30 * time.Second, demand: resources(2, 3, 0, 1, 1)}.profile(),
				ArrivalRate: 140, RunTime: 800 * time.Millisecond, RunTimeSigma: 0.6},
		},
	}
}

// TargetScale returns the scenario of the size that the users require: 700 workers, 780 accelerators, 85 teams, about 4,300 running tasks.
func TargetScale() Scenario {
	workers := append(newWorkers("plain", 505, resources(64, 256, 0, 64, 240)), newWorkers("accel", 195, resources(64, 256, 4, 64, 240))...)
	return Scenario{
		Name: "letter", Workers: workers, Teams: 85, Duration: 10 * time.Minute, WarmUp: 5 * time.Minute, Cooldown: 15 * time.Minute,
		Streams: []Stream{
			{Profile: profileSpec{name: "urgent", kind: cwmodel.KindRequest, class: cwmodel.ClassUrgent, guaranteedShare: 0.1, deadline: 10 * time.Second, demand: resources(2, 4, 0, 1, 1)}.profile(),
				ArrivalRate: 20, RunTime: 2 * time.Second, RunTimeSigma: 0.6},
			{Profile: profileSpec{name: "standard", kind: cwmodel.KindRequest, class: cwmodel.ClassStandard, guaranteedShare: 0.2, deadline: 60 * time.Second, demand: resources(4, 16, 0, 1, 1)}.profile(),
				ArrivalRate: 16, RunTime: 10 * time.Second, RunTimeSigma: 0.6},
			{Profile: profileSpec{name: "services", kind: cwmodel.KindService, class: cwmodel.ClassStandard, guaranteedShare: 0.2, demand: resources(8, 32, 0, 1, 8)}.profile(),
				ArrivalRate: 8.6, RunTime: 1000 * time.Hour, To: 100 * time.Second},
			{Profile: profileSpec{name: "training", kind: cwmodel.KindBatch, class: cwmodel.ClassBatch, guaranteedShare: 0.1, demand: resources(8, 32, 1, 1, 1), checkpointable: true}.profile(),
				ArrivalRate: 3, RunTime: 200 * time.Second, RunTimeSigma: 0.5},
			{Profile: profileSpec{name: "batch", kind: cwmodel.KindBatch, class: cwmodel.ClassBatch, guaranteedShare: 0.1, demand: resources(8, 28, 0, 1, 1), checkpointable: true}.profile(),
				ArrivalRate: 9, RunTime: 290 * time.Second, RunTimeSigma: 0.5},
			{Profile: profileSpec{name: "gangs", kind: cwmodel.KindGang, class: cwmodel.ClassBatch, guaranteedShare: 0.05, demand: resources(8, 32, 0, 1, 1)}.profile(),
				ArrivalRate: 0.1, RunTime: 60 * time.Second, RunTimeSigma: 0.3, GangSize: 16},
		},
	}
}

// MixedDemands returns a scenario to measure packing: tasks of very different demands saturate the 700 workers of the target scale.
func MixedDemands() Scenario {
	workers := append(newWorkers("plain", 505, resources(64, 256, 0, 64, 240)), newWorkers("accel", 195, resources(64, 256, 4, 64, 240))...)
	stream := func(name string, arrivalRate float64, demand cwmodel.Resources) Stream {
		s := profileSpec{name: name, kind: cwmodel.KindBatch, class: cwmodel.ClassBatch, demand: demand, checkpointable: true}
		return Stream{Profile: s.profile(), ArrivalRate: arrivalRate, RunTime: 60 * time.Second, RunTimeSigma: 0.5}
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

// maxFloodTasks is the maximum number of tasks in one flood.
const maxFloodTasks = 400_000

// WithFlood returns the scenario with a further, last stream of the profile in the middle of the run. Alone, it demands the
// capacity of the given number of fleets. A profile that the scenario lacks adds no stream.
func (sc Scenario) WithFlood(profile cwmodel.ProfileName, fleets float64) Scenario {
	var total cwmodel.Resources
	for _, w := range sc.Workers {
		total = total.Add(w.Capacity)
	}
	for _, s := range sc.Streams {
		if s.Profile.Name != profile {
			continue
		}
		flood := s
		flood.ArrivalRate = fleets / (s.Profile.Demand.DominantShare(total) * s.RunTime.Seconds())
		duration := min(sc.Duration*2/5, time.Duration(maxFloodTasks/flood.ArrivalRate*float64(time.Second)))
		flood.From = sc.WarmUp + sc.Duration/10
		flood.To = flood.From + duration
		sc.Streams = append(append([]Stream{}, sc.Streams...), flood)
		return sc
	}
	return sc
}

// WithUsageRatio returns the scenario with tasks that use a multiple of the resources that they declare.
func (sc Scenario) WithUsageRatio(ratio float64) Scenario {
	sc.Streams = append([]Stream{}, sc.Streams...)
	for n := range sc.Streams {
		sc.Streams[n].UsageRatio = ratio
	}
	return sc
}

// usage returns the actual usage of a task of this stream with the declared demand: processors and memory are multiplied by UsageRatio, the rest is
// as declared. A ratio of zero means 1.
func (s Stream) usage(declared cwmodel.Resources) cwmodel.Resources {
	if s.UsageRatio > 0 {
		declared.MilliProcessors = int64(float64(declared.MilliProcessors) * s.UsageRatio)
		declared.MemoryBytes = int64(float64(declared.MemoryBytes) * s.UsageRatio)
	}
	return declared
}

// configuration returns the profiles and teams of the scenario.
func (sc Scenario) configuration() cwpolicy.Configuration {
	cfg := cwpolicy.Configuration{Version: 1}
	seen := map[cwmodel.ProfileName]bool{}
	for _, s := range sc.Streams {
		if !seen[s.Profile.Name] {
			seen[s.Profile.Name] = true
			cfg.Profiles = append(cfg.Profiles, s.Profile)
		}
	}
	for n := range sc.Teams {
		cfg.Teams = append(cfg.Teams, cwpolicy.Team{Name: teamName(n), Weight: 1})
	}
	return cfg
}

// teamName returns the name of team n.
func teamName(n int) cwmodel.TeamName { return cwmodel.TeamName(fmt.Sprintf("team-%02d", n)) }

// taskSource generates the tasks of one stream. It has its own random numbers, so that a further stream leaves its tasks as they are.
type taskSource struct {
	Stream
	random      *rand.Rand
	teams       int
	streamIndex int // of the stream in the scenario; part of the tasks' IDs
	taskCount   int // tasks generated so far; part of the next task's ID
}

// nextGap returns the time until the next arrival.
func (s *taskSource) nextGap() time.Duration {
	return time.Duration(s.random.ExpFloat64() / s.ArrivalRate * float64(time.Second))
}

// nextTask returns one task and its actual run time, which is log-normal with the mean and sigma of the stream.
func (s *taskSource) nextTask(now time.Time) (t cwmodel.Task, runTime time.Duration) {
	s.taskCount++
	p := s.Profile
	t = cwmodel.Task{
		ID: cwmodel.TaskID(fmt.Sprintf("%d-%d", s.streamIndex, s.taskCount)), NextAttempt: 1, Profile: p.Name, Team: teamName(s.random.IntN(s.teams)), Kind: p.Kind,
		Demand: p.Demand, ArrivedAt: now, Lease: p.Lease, MaxAttempts: p.MaxAttempts, Repeatable: p.Repeatable, Checkpointable: p.Checkpointable,
	}
	if p.Deadline > 0 {
		t.Deadline = now.Add(p.Deadline)
	}
	scale := math.Exp(s.random.NormFloat64()*s.RunTimeSigma - s.RunTimeSigma*s.RunTimeSigma/2)
	return t, max(time.Duration(float64(s.RunTime)*scale), time.Millisecond)
}
