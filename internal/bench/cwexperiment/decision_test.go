package cwexperiment

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"currantward/internal/core/cwdecider"
	"currantward/internal/core/cwmodel"
)

// BenchmarkDecision replaces one running task by a new one in a full fleet: one end, one submission and one start.
func BenchmarkDecision(b *testing.B) {
	for _, count := range []int{50, 700, 7000} {
		b.Run(fmt.Sprint(count, "-workers"), func(b *testing.B) { benchmarkDecision(b, count) })
	}
}

// benchmarkDecision fills a fleet of count workers, then replaces a random running task b.N times.
func benchmarkDecision(b *testing.B, count int) {
	sc := Nilecraft()
	sc.Workers = newWorkers("runner", count, resources(64, 256, 0, 8, 60))
	decider := cwdecider.New(cwdecider.Options{Seed: 1})
	now := startTime
	decider.Configure(now, sc.configuration())
	for _, w := range sc.Workers {
		decider.AddWorker(now, w, 1, nil)
	}
	ids := make([]cwmodel.TaskID, 1<<20)
	for n := range ids {
		ids[n] = cwmodel.TaskID(fmt.Sprint(n))
	}
	random := rand.New(rand.NewPCG(1, 1))
	var running []cwmodel.Attempt
	next := 0
	submit := func() {
		p := sc.Streams[random.IntN(len(sc.Streams))].Profile
		decider.Submit(now, cwmodel.Task{
			ID: ids[next%len(ids)], NextAttempt: 1, Profile: p.Name, Team: teamName(random.IntN(sc.Teams)), Kind: p.Kind, Demand: p.Demand,
			ArrivedAt: now, Deadline: now.Add(time.Hour), Lease: p.Lease, MaxAttempts: 1,
		})
		next++
		for _, a := range decider.Actions() {
			if a.Kind == cwdecider.ActionStart {
				running = append(running, a.Attempt)
			}
		}
	}
	for range count * 6 {
		submit()
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		now = now.Add(time.Millisecond)
		k := random.IntN(len(running))
		ended := running[k]
		running[k] = running[len(running)-1]
		running = running[:len(running)-1]
		decider.HandleResult(now, cwmodel.Result{Attempt: ended, End: cwmodel.EndDone, StartedAt: now.Add(-time.Second), EndedAt: now})
		for _, a := range decider.Actions() {
			if a.Kind == cwdecider.ActionStart {
				running = append(running, a.Attempt)
			}
		}
		submit()
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "decisions/s")
}
