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
	"currantward/internal/app/cwdeployment"
	"currantward/internal/base/cwhttp"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwpolicy"
)

const (
	settleTime   = 30 * time.Second // time until the last claims, fall-backs included, are settled
	setupTimeout = 2 * time.Minute
	timedChanges = 10 // configuration changes whose rollout is timed
	longRunTime  = time.Hour
)

// measure starts a deployment of the given size and measures the mean cost of its entry hosts over one window.
func measure(point LoadPoint, window time.Duration) (s Sample, err error) {
	s.Point = point
	c, stop, err := startCluster(point)
	if err != nil {
		return s, err
	}
	defer stop()
	opts := cwhttp.DefaultClientOptions()
	opts.Timeout, opts.MaxConnsPerHost = longRunTime, 4096
	client, stopClient := cwhttp.NewClient(opts)
	defer stopClient()
	ctx, cancel := context.WithTimeout(context.Background(), setupTimeout)
	defer cancel()
	if err = c.provision(ctx, client, point); err != nil {
		return s, err
	}
	load, stopLoad := context.WithCancel(context.Background())
	var senders sync.WaitGroup
	defer senders.Wait()
	defer stopLoad()
	c.startLongTasks(load, &senders, client, point.RunningTasks)
	c.sendAtRate(load, &senders, client, point.StartRate)
	c.timer.Sleep(nil, settleTime)
	if s.Cost, err = c.measureCost(ctx, client, window); err != nil {
		return s, err
	}
	s.RolloutTime, err = c.measureRollouts(ctx, client)
	return s, err
}

// provision commits the configuration and waits until all workers are owned.
func (c *cluster) provision(ctx context.Context, client *cwhttp.Client, point LoadPoint) error {
	if err := cwdeployment.PutConfiguration(ctx, c.hosts[0].operators, client, configuration()); err != nil {
		return err
	}
	for {
		owned := 0
		for _, h := range c.hosts {
			var status cwadmin.Status
			if err := client.Call(ctx, fasthttp.MethodGet, h.operators, cwadmin.PathStatus, nil, &status); err != nil {
				return err
			}
			if status.ConfigurationVersion > 0 {
				owned += status.OwnedWorkers
			}
		}
		if owned >= point.Workers {
			return nil
		}
		if !c.timer.Sleep(ctx.Done(), 200*time.Millisecond) {
			return fmt.Errorf("wait for workers: %d of %d are owned: %w", owned, point.Workers, ctx.Err())
		}
	}
}

// configuration returns one profile for long tasks, one for short tasks, and the 85 teams of the users' requirements.
func configuration() cwpolicy.Configuration {
	const teams = 85
	profile := func(name cwmodel.ProfileName, deadline time.Duration) cwpolicy.Profile {
		return cwpolicy.Profile{
			Name: name, Kind: cwmodel.KindRequest, Class: cwmodel.ClassStandard, Weight: 1, Ceiling: 1, QueueLimit: 1000,
			Deadline: deadline, Lease: time.Minute, MaxAttempts: 1,
			Demand: cwmodel.Resources{MilliProcessors: 100, MemoryBytes: 1 << 20, Slots: 1, Connections: 1},
		}
	}
	cfg := cwpolicy.Configuration{Profiles: []cwpolicy.Profile{profile("long", longRunTime), profile("short", 10*time.Second)}}
	for n := range teams {
		cfg.Teams = append(cfg.Teams, cwpolicy.Team{Name: cwmodel.TeamName(fmt.Sprintf("team-%02d", n)), Weight: 1})
	}
	return cfg
}

// startLongTasks keeps n tasks running until ctx is cancelled, spread over the hosts.
func (c *cluster) startLongTasks(ctx context.Context, senders *sync.WaitGroup, client *cwhttp.Client, n int) {
	for k := range n {
		body := fmt.Sprintf(`{"profile":"long","team":"team-%02d","payload":{"simulate":{"run":"1h"}}}`, k%85)
		addr := c.hosts[k%len(c.hosts)].callers
		senders.Add(1)
		go func() {
			defer senders.Done()
			_, _, _ = client.Do(ctx, fasthttp.MethodPost, addr, cwfront.PathRequests, []byte(body))
		}()
	}
}

// sendAtRate sends short requests at a constant rate until ctx is cancelled.
func (c *cluster) sendAtRate(ctx context.Context, senders *sync.WaitGroup, client *cwhttp.Client, rate int) {
	if rate == 0 {
		return
	}
	senders.Add(1)
	go func() {
		defer senders.Done()
		for n := 0; c.timer.Sleep(ctx.Done(), time.Second/time.Duration(rate)); n++ {
			addr := c.hosts[n%len(c.hosts)].callers
			body := fmt.Sprintf(`{"profile":"short","team":"team-%02d","payload":{"simulate":{"run":"20ms"}}}`, n%85)
			senders.Add(1)
			go func() {
				defer senders.Done()
				_, _, _ = client.Do(ctx, fasthttp.MethodPost, addr, cwfront.PathRequests, []byte(body))
			}()
		}
	}()
}

// measureRollouts commits changes one after the other and returns the longest time until one was in force on all hosts.
func (c *cluster) measureRollouts(ctx context.Context, client *cwhttp.Client) (longest time.Duration, err error) {
	for n := range timedChanges {
		cfg := configuration()
		cfg.Profiles[0].QueueLimit += n + 1
		if err = cwdeployment.PutConfiguration(ctx, c.hosts[n%len(c.hosts)].operators, client, cfg); err != nil {
			return 0, err
		}
		committedAt := c.timer.Now()
		for _, h := range c.hosts {
			if err = c.awaitVersion(ctx, client, h, uint64(n+2)); err != nil {
				return 0, err
			}
		}
		longest = max(longest, c.timer.Now().Sub(committedAt))
	}
	return longest.Round(time.Millisecond), nil
}

func (c *cluster) awaitVersion(ctx context.Context, client *cwhttp.Client, h entryHost, version uint64) error {
	for {
		var status cwadmin.Status
		if err := client.Call(ctx, fasthttp.MethodGet, h.operators, cwadmin.PathStatus, nil, &status); err != nil {
			return err
		}
		if status.ConfigurationVersion >= version {
			return nil
		}
		if !c.timer.Sleep(ctx.Done(), 5*time.Millisecond) {
			return ctx.Err()
		}
	}
}

// metrics are the counters and gauges of one host at one time.
type metrics struct {
	cpuSeconds, memoryBytes, heapBytes, workerBytes, peerBytes, platformBytes float64
}

// measureCost scrapes all hosts at both ends of a window and returns the mean cost of one host.
func (c *cluster) measureCost(ctx context.Context, client *cwhttp.Client, window time.Duration) (mean Cost, err error) {
	before, err := c.scrapeAll(ctx, client)
	if err != nil {
		return mean, err
	}
	c.timer.Sleep(nil, window)
	after, err := c.scrapeAll(ctx, client)
	if err != nil {
		return mean, err
	}
	n := float64(len(c.hosts))
	for k := range after {
		rate := func(of func(metrics) float64) float64 { return (of(after[k]) - of(before[k])) / window.Seconds() / n }
		mean.CPUShare += rate(func(m metrics) float64 { return m.cpuSeconds })
		mean.WorkerTraffic += rate(func(m metrics) float64 { return m.workerBytes })
		mean.PeerTraffic += rate(func(m metrics) float64 { return m.peerBytes })
		mean.PlatformTraffic += rate(func(m metrics) float64 { return m.platformBytes })
		mean.MemoryBytes += after[k].memoryBytes / n
		mean.HeapBytes += after[k].heapBytes / n
	}
	return mean, nil
}

func (c *cluster) scrapeAll(ctx context.Context, client *cwhttp.Client) (samples []metrics, err error) {
	for _, h := range c.hosts {
		_, body, err := client.Do(ctx, fasthttp.MethodGet, h.operators, cwadmin.PathMetrics, nil)
		if err != nil {
			return nil, err
		}
		m, err := parseMetrics(body)
		if err != nil {
			return nil, err
		}
		samples = append(samples, m)
	}
	return samples, nil
}

// parseMetrics decodes metrics in the text format of Prometheus.
func parseMetrics(body []byte) (r metrics, err error) {
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(bytes.NewReader(body))
	if err != nil {
		return r, err
	}
	single := func(name string) float64 {
		m := families[name].GetMetric()[0]
		return m.GetGauge().GetValue() + m.GetCounter().GetValue()
	}
	r.cpuSeconds, r.memoryBytes = single("process_cpu_seconds_total"), single("process_resident_memory_bytes")
	r.heapBytes = single("go_memstats_heap_alloc_bytes")
	for _, m := range families["currantward_bytes_total"].GetMetric() {
		for _, label := range m.GetLabel() {
			switch label.GetValue() {
			case "workers":
				r.workerBytes += m.GetCounter().GetValue()
			case "peers":
				r.peerBytes += m.GetCounter().GetValue()
			case "platform":
				r.platformBytes += m.GetCounter().GetValue()
			}
		}
	}
	return r, nil
}
