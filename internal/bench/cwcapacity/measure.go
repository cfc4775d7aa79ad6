package cwcapacity

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/valyala/fasthttp"

	"currantward/internal/adapter/cwadmin"
	"currantward/internal/adapter/cwfront"
	"currantward/internal/app/cwdev"
	"currantward/internal/base/cwhttp"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwpolicy"
)

const (
	settleTime  = 30 * time.Second // until the last claims, fall-backs included, are settled
	setUpLimit  = 2 * time.Minute
	changes     = 10 // configuration changes that are timed
	longRequest = time.Hour
)

// measure starts a deployment of the given size and returns the mean cost of its entry hosts over one window.
func measure(point Point, window time.Duration) (s Sample, err error) {
	s.Point = point
	f, stop, err := startFleet(point)
	if err != nil {
		return s, err
	}
	defer stop()
	opts := cwhttp.DefaultClientOptions()
	opts.Timeout, opts.MaxConnsPerHost = longRequest, 4096
	client, stopClient := cwhttp.NewClient(opts)
	defer stopClient()
	ctx, cancel := context.WithTimeout(context.Background(), setUpLimit)
	defer cancel()
	if err = f.prepare(ctx, client, point); err != nil {
		return s, err
	}
	load, endLoad := context.WithCancel(context.Background())
	var loaders sync.WaitGroup
	defer loaders.Wait()
	defer endLoad()
	f.holdRunning(load, &loaders, client, point.RunningTasks)
	f.keepRate(load, &loaders, client, point.StartRate)
	f.timer.Sleep(nil, settleTime)
	if s.Cost, err = f.cost(ctx, client, window); err != nil {
		return s, err
	}
	s.RolloutTime, err = f.timeChanges(ctx, client)
	return s, err
}

// prepare puts the configuration in and waits until all workers are owned.
func (f *fleet) prepare(ctx context.Context, client *cwhttp.Client, point Point) error {
	if err := cwdev.PutConfiguration(ctx, f.hosts[0].operators, client, configuration()); err != nil {
		return err
	}
	for {
		owned := 0
		for _, h := range f.hosts {
			var status cwadmin.Status
			if err := client.Call(ctx, fasthttp.MethodGet, h.operators, cwadmin.PathStatus, nil, &status); err != nil {
				return err
			}
			if status.Configuration > 0 {
				owned += status.Workers
			}
		}
		if owned >= point.Workers {
			return nil
		}
		if !f.timer.Sleep(ctx.Done(), 200*time.Millisecond) {
			return fmt.Errorf("%d of %d workers are owned: %w", owned, point.Workers, ctx.Err())
		}
	}
}

// configuration holds one profile for short and one for long tasks, and the letter's 85 teams.
func configuration() cwpolicy.Configuration {
	const teams = 85
	profile := func(name cwmodel.ProfileName, deadline time.Duration) cwpolicy.Profile {
		return cwpolicy.Profile{
			Name: name, Kind: cwmodel.KindRequest, Class: cwmodel.ClassStandard, Weight: 1, Ceiling: 1, QueueLimit: 1000,
			Deadline: deadline, Lease: time.Minute, MaxAttempts: 1,
			Demand: cwmodel.Resources{MilliProcessors: 100, MemoryBytes: 1 << 20, Slots: 1, Connections: 1},
		}
	}
	cfg := cwpolicy.Configuration{Profiles: []cwpolicy.Profile{profile("long", longRequest), profile("short", 10*time.Second)}}
	for n := range teams {
		cfg.Teams = append(cfg.Teams, cwpolicy.Team{Name: cwmodel.TeamName(fmt.Sprintf("team-%02d", n)), Weight: 1})
	}
	return cfg
}

// holdRunning keeps n tasks running until ctx ends, spread over the hosts.
func (f *fleet) holdRunning(ctx context.Context, loaders *sync.WaitGroup, client *cwhttp.Client, n int) {
	for k := range n {
		body := fmt.Sprintf(`{"profile":"long","team":"team-%02d","payload":{"simulate":{"run":"1h"}}}`, k%85)
		addr := f.hosts[k%len(f.hosts)].callers
		loaders.Add(1)
		go func() {
			defer loaders.Done()
			_, _, _ = client.Do(ctx, fasthttp.MethodPost, addr, cwfront.PathRequests, []byte(body))
		}()
	}
}

// keepRate sends short requests at a steady rate until ctx ends.
func (f *fleet) keepRate(ctx context.Context, loaders *sync.WaitGroup, client *cwhttp.Client, rate int) {
	if rate == 0 {
		return
	}
	loaders.Add(1)
	go func() {
		defer loaders.Done()
		for n := 0; f.timer.Sleep(ctx.Done(), time.Second/time.Duration(rate)); n++ {
			addr := f.hosts[n%len(f.hosts)].callers
			body := fmt.Sprintf(`{"profile":"short","team":"team-%02d","payload":{"simulate":{"run":"20ms"}}}`, n%85)
			loaders.Add(1)
			go func() {
				defer loaders.Done()
				_, _, _ = client.Do(ctx, fasthttp.MethodPost, addr, cwfront.PathRequests, []byte(body))
			}()
		}
	}()
}

// timeChanges commits changes one after the other and returns the longest time until one was in force everywhere.
func (f *fleet) timeChanges(ctx context.Context, client *cwhttp.Client) (longest time.Duration, err error) {
	for n := range changes {
		cfg := configuration()
		cfg.Profiles[0].QueueLimit += n + 1
		if err = cwdev.PutConfiguration(ctx, f.hosts[n%len(f.hosts)].operators, client, cfg); err != nil {
			return 0, err
		}
		accepted := f.timer.Now()
		for _, h := range f.hosts {
			if err = f.awaitVersion(ctx, client, h, uint64(n+2)); err != nil {
				return 0, err
			}
		}
		longest = max(longest, f.timer.Now().Sub(accepted))
	}
	return longest.Round(time.Millisecond), nil
}

func (f *fleet) awaitVersion(ctx context.Context, client *cwhttp.Client, h host, version uint64) error {
	for {
		var status cwadmin.Status
		if err := client.Call(ctx, fasthttp.MethodGet, h.operators, cwadmin.PathStatus, nil, &status); err != nil {
			return err
		}
		if status.Configuration >= version {
			return nil
		}
		if !f.timer.Sleep(ctx.Done(), 5*time.Millisecond) {
			return ctx.Err()
		}
	}
}

// reading is what a host's metrics say at one moment.
type reading struct {
	processor, memory, heap, workers, peers, table float64
}

// cost reads all hosts at both ends of a window and returns the mean of their differences.
func (f *fleet) cost(ctx context.Context, client *cwhttp.Client, window time.Duration) (mean Cost, err error) {
	before, err := f.readAll(ctx, client)
	if err != nil {
		return mean, err
	}
	f.timer.Sleep(nil, window)
	after, err := f.readAll(ctx, client)
	if err != nil {
		return mean, err
	}
	n := float64(len(f.hosts))
	for k := range after {
		rate := func(of func(reading) float64) float64 { return (of(after[k]) - of(before[k])) / window.Seconds() / n }
		mean.CPUShare += rate(func(r reading) float64 { return r.processor })
		mean.WorkerTraffic += rate(func(r reading) float64 { return r.workers })
		mean.PeerTraffic += rate(func(r reading) float64 { return r.peers })
		mean.PlatformTraffic += rate(func(r reading) float64 { return r.table })
		mean.MemoryBytes += after[k].memory / n
		mean.HeapBytes += after[k].heap / n
	}
	return mean, nil
}

func (f *fleet) readAll(ctx context.Context, client *cwhttp.Client) (readings []reading, err error) {
	for _, h := range f.hosts {
		_, body, err := client.Do(ctx, fasthttp.MethodGet, h.operators, cwadmin.PathMetrics, nil)
		if err != nil {
			return nil, err
		}
		r, err := parseMetrics(body)
		if err != nil {
			return nil, err
		}
		readings = append(readings, r)
	}
	return readings, nil
}

// parseMetrics reads the text form of Prometheus.
func parseMetrics(body []byte) (r reading, err error) {
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(bytes.NewReader(body))
	if err != nil {
		return r, err
	}
	single := func(name string) float64 {
		m := families[name].GetMetric()[0]
		return m.GetGauge().GetValue() + m.GetCounter().GetValue()
	}
	r.processor, r.memory = single("process_cpu_seconds_total"), single("process_resident_memory_bytes")
	r.heap = single("go_memstats_heap_alloc_bytes")
	for _, m := range families["currantward_bytes_total"].GetMetric() {
		for _, label := range m.GetLabel() {
			switch label.GetValue() {
			case "workers":
				r.workers += m.GetCounter().GetValue()
			case "peers":
				r.peers += m.GetCounter().GetValue()
			case "platform":
				r.table += m.GetCounter().GetValue()
			}
		}
	}
	return r, nil
}
