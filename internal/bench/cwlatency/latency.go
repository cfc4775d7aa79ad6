// Package cwlatency measures the latency that the scheduler adds to a request.
package cwlatency

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"currantward/internal/adapter/cwfront"
	"currantward/internal/adapter/cwworker"
	"currantward/internal/app/cwdeployment"
	"currantward/internal/app/cwsettings"
	"currantward/internal/base/cwhttp"
	"currantward/internal/base/cwlog"
	"currantward/internal/base/cwtimer"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwpolicy"
	"currantward/internal/port/cwport"
	"currantward/internal/standin/cwrunner"
)

// Arguments are the options of the measurement.
type Arguments struct {
	Requests int `arg:"--requests" default:"2000" help:"requests by either way"`
	Workers  int `arg:"--workers" default:"8" help:"workers of the deployment"`
}

// payload makes the stand-in worker run the task for one millisecond.
const payload = `{"simulate":{"run":"1ms"}}`

// Run measures direct calls of a worker, then requests through an entry host, and prints quantiles and their ratios.
func Run(a Arguments, w io.Writer) error {
	timer, stopTimer := cwtimer.New()
	defer stopTimer()
	direct, err := measureDirect(a, timer)
	if err != nil {
		return err
	}
	scheduled, err := measureScheduled(a, timer)
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "%-10s %12s %12s %8s\n", "quantile", "direct", "through", "ratio")
	for _, q := range []float64{0.5, 0.9, 0.99} {
		d, t := quantile(direct, q), quantile(scheduled, q)
		fmt.Fprintf(w, "%-10.2f %12s %12s %8.2f\n", q, d, t, float64(t)/float64(d))
	}
	return nil
}

// quantile returns the q-quantile, with q from 0 to 1, of sorted durations, rounded to microseconds.
func quantile(sorted []time.Duration, q float64) time.Duration {
	return sorted[int(q*float64(len(sorted)-1))].Round(time.Microsecond)
}

// timeCalls makes count calls one after the other, after a warm-up, and returns their sorted durations.
func timeCalls(timer *cwtimer.Service, count int, call func(n int) error) (latencies []time.Duration, err error) {
	const warmUp = 100 // calls
	for k := range count + warmUp {
		startedAt := timer.Now()
		if err = call(k); err != nil {
			return nil, err
		}
		if k >= warmUp {
			latencies = append(latencies, timer.Now().Sub(startedAt))
		}
	}
	slices.Sort(latencies)
	return latencies, nil
}

// measureDirect is the baseline. It times calls that start a task on a worker and wait for its result, without a scheduler.
func measureDirect(a Arguments, timer *cwtimer.Service) (latencies []time.Duration, err error) {
	log := cwlog.Discard()
	worker := cwmodel.Worker{ID: "worker", DataCentre: "cairo-1", Capacity: capacity()}
	_, addr, stop, err := cwrunner.New(cwrunner.Options{Listen: netip.MustParseAddrPort("127.0.0.1:0"), Worker: worker, Timer: timer, Log: log})
	if err != nil {
		return nil, err
	}
	defer stop()
	workers, stopClient := cwworker.New(cwhttp.DefaultClientOptions())
	defer stopClient()
	ctx := context.Background()
	if _, err = workers.Claim(ctx, addr, cwport.Claim{Owner: "bench", Epoch: 1, TTL: time.Hour}); err != nil {
		return nil, err
	}
	var acks []cwmodel.Attempt
	return timeCalls(timer, a.Requests, func(n int) error {
		id := cwmodel.TaskID(fmt.Sprint("task-", n))
		attempt := cwmodel.Attempt{Task: id, Number: 1, Worker: "worker", Epoch: 1}
		task := cwmodel.Task{ID: id, Kind: cwmodel.KindRequest, Demand: demand(), Lease: 10 * time.Second, Payload: []byte(payload)}
		request := cwport.StartRequest{Task: task, Attempt: attempt, NotAfter: timer.Now().Add(time.Second)}
		if err := workers.Start(ctx, addr, request); err != nil {
			return err
		}
		_, err := workers.Completions(ctx, addr, cwport.Poll{Epoch: 1, Acks: acks, Wait: time.Second})
		acks = []cwmodel.Attempt{attempt}
		return err
	})
}

// measureScheduled times requests to an entry host, which schedules them on workers of the same capacity as the one that measureDirect calls.
func measureScheduled(a Arguments, timer *cwtimer.Service) (latencies []time.Duration, err error) {
	document := cwsettings.Defaults()
	document.HostID, document.DataCentre, document.Platform = "entry", "cairo-1", "127.0.0.1:9000"
	document.ListenCallers, document.ListenOperators, document.ListenPeers = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	settings, err := document.Validate()
	if err != nil {
		return nil, err
	}
	deployment, stop, err := cwdeployment.New(cwdeployment.Options{
		Timer: timer, Log: cwlog.Discard(), Settings: settings, Workers: a.Workers, Capacity: capacity(), Configuration: configuration(),
	})
	if err != nil {
		return nil, err
	}
	defer stop()
	client, stopClient := cwhttp.NewClient(cwhttp.DefaultClientOptions())
	defer stopClient()
	body := []byte(`{"profile":"diagnostics","team":"riders","payload":` + payload + `}`)
	return timeCalls(timer, a.Requests, func(int) error {
		status, response, err := client.Do(context.Background(), fasthttp.MethodPost, deployment.EntryHost.CallersAddr, cwfront.PathRequests, body)
		if err == nil && status != fasthttp.StatusOK {
			err = fmt.Errorf("response with status %d: %s", status, response)
		}
		return err
	})
}

// capacity returns the capacity of each worker.
func capacity() cwmodel.Resources {
	return cwmodel.Resources{MilliProcessors: 64_000, MemoryBytes: 256 << 30, Slots: 8, Connections: 60}
}

// demand returns the resources that each task declares.
func demand() cwmodel.Resources {
	return cwmodel.Resources{MilliProcessors: 1000, MemoryBytes: 1 << 30, Slots: 1, Connections: 1}
}

// configuration returns one profile and one team, whose queue never limits the requests: they are sent one after the other.
func configuration() cwpolicy.Configuration {
	return cwpolicy.Configuration{
		Profiles: []cwpolicy.Profile{{
			Name: "diagnostics", Kind: cwmodel.KindRequest, Class: cwmodel.ClassUrgent, Weight: 1, Ceiling: 1, QueueLimit: 100,
			Deadline: 5 * time.Second, Lease: 10 * time.Second, MaxAttempts: 3, Repeatable: true, Demand: demand(),
		}},
		Teams: []cwpolicy.Team{{Name: "riders", Weight: 1}},
	}
}
