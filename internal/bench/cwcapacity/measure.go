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
	settlingTime = 30 * time.Second // until all workers are claimed, also those that the second-ranked host claims after 24 s without an owner
	setupTimeout = 2 * time.Minute
	rolloutCount = 10        // number of configuration changes whose rollout is timed
	longRunTime  = time.Hour // of tasks that must not end during a measurement
)

// measure starts a cluster with the load of point. It measures the mean cost of the entry hosts over one window, then the
// rollout time of configuration changes.
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
	loadCtx, stopLoad := context.WithCancel(context.Background())
	var senders sync.WaitGroup
	defer senders.Wait()
	defer stopLoad()
	c.startLongTasks(loadCtx, &senders, client, point.RunningTasks)
	c.sendAtRate(loadCtx, &senders, client, point.StartRate)
	c.timer.Sleep(nil, settlingTime)
	if s.Cost, err = c.measureCost(ctx, client, window); err != nil {
		return s, err
	}
	s.RolloutTime, err = c.measureRollouts(ctx, client)
	return s, err
}

// provision commits the configuration through the first host and waits until the hosts that have a configuration own all workers together.
func (c *cluster) provision(ctx context.Context, client *cwhttp.Client, point LoadPoint) error {
	if err := cwdeployment.PutConfiguration(ctx, c.hosts[0].operatorsAddr, client, configuration()); err != nil {
		return err
	}
	for {
		owned := 0
		for _, h := range c.hosts {
			var status cwadmin.Status
			if err := client.Call(ctx, fasthttp.MethodGet, h.operatorsAddr, cwadmin.PathStatus, nil, &status); err != nil {
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

// startLongTasks submits count tasks, spread over the hosts and the 85 teams of the configuration. Each has a run time of an hour, which no
// measurement reaches; its call ends when ctx is cancelled.
func (c *cluster) startLongTasks(ctx context.Context, senders *sync.WaitGroup, client *cwhttp.Client, count int) {
	for k := range count {
		body := fmt.Sprintf(`{"profile":"long","team":"team-%02d","payload":{"simulate":{"run":"1h"}}}`, k%85)
		addr := c.hosts[k%len(c.hosts)].callersAddr
		senders.Add(1)
		go func() {
			defer senders.Done()
			_, _, _ = client.Do(ctx, fasthttp.MethodPost, addr, cwfront.PathRequests, []byte(body))
		}()
	}
}

// sendAtRate sends rate short requests a second, spread over the hosts and the 85 teams of the configuration, until ctx is cancelled. A rate of
// zero sends none.
func (c *cluster) sendAtRate(ctx context.Context, senders *sync.WaitGroup, client *cwhttp.Client, rate int) {
	if rate == 0 {
		return
	}
	senders.Add(1)
	go func() {
		defer senders.Done()
		for n := 0; c.timer.Sleep(ctx.Done(), time.Second/time.Duration(rate)); n++ {
			addr := c.hosts[n%len(c.hosts)].callersAddr
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
// Version 1 is the configuration that provision committed, so change n is version n+2.
func (c *cluster) measureRollouts(ctx context.Context, client *cwhttp.Client) (longest time.Duration, err error) {
	for n := range rolloutCount {
		cfg := configuration()
		cfg.Profiles[0].QueueLimit += n + 1
		if err = cwdeployment.PutConfiguration(ctx, c.hosts[n%len(c.hosts)].operatorsAddr, client, cfg); err != nil {
			return 0, err
		}
		committedAt := c.timer.Now()
		for _, h := range c.hosts {
			if err = c.awaitConfigurationVersion(ctx, client, h, uint64(n+2)); err != nil {
				return 0, err
			}
		}
		longest = max(longest, c.timer.Now().Sub(committedAt))
	}
	return longest.Round(time.Millisecond), nil
}

// awaitConfigurationVersion polls the status of one host until it reports at least the version as in force.
func (c *cluster) awaitConfigurationVersion(ctx context.Context, client *cwhttp.Client, h entryHost, version uint64) error {
	for {
		var status cwadmin.Status
		if err := client.Call(ctx, fasthttp.MethodGet, h.operatorsAddr, cwadmin.PathStatus, nil, &status); err != nil {
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

// metrics are the counters and gauges of one host at one time. Bytes are those sent and received.
type metrics struct {
	cpuSeconds, memoryBytes, heapBytes, workerBytes, peerBytes, platformBytes float64
}

// measureCost scrapes all hosts at both ends of a window and returns the mean resource use of one host.
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
		// rate returns the increase per second of the counter that fn reads on host k, divided by the number of hosts.
		rate := func(fn func(metrics) float64) float64 { return (fn(after[k]) - fn(before[k])) / window.Seconds() / n }
		mean.CPUShare += rate(func(m metrics) float64 { return m.cpuSeconds })
		mean.WorkerTraffic += rate(func(m metrics) float64 { return m.workerBytes })
		mean.PeerTraffic += rate(func(m metrics) float64 { return m.peerBytes })
		mean.PlatformTraffic += rate(func(m metrics) float64 { return m.platformBytes })
		mean.MemoryBytes += after[k].memoryBytes / n
		mean.HeapBytes += after[k].heapBytes / n
	}
	return mean, nil
}

// scrapeAll returns the current metrics of each host, in the order of c.hosts.
func (c *cluster) scrapeAll(ctx context.Context, client *cwhttp.Client) (samples []metrics, err error) {
	for _, h := range c.hosts {
		_, body, err := client.Do(ctx, fasthttp.MethodGet, h.operatorsAddr, cwadmin.PathMetrics, nil)
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

// parseMetrics decodes the metrics of one host from the text format of Prometheus.
func parseMetrics(body []byte) (parsed metrics, err error) {
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(bytes.NewReader(body))
	if err != nil {
		return parsed, err
	}
	valueOf := func(name string) float64 {
		m := families[name].GetMetric()[0]
		return m.GetGauge().GetValue() + m.GetCounter().GetValue()
	}
	parsed.cpuSeconds, parsed.memoryBytes = valueOf("process_cpu_seconds_total"), valueOf("process_resident_memory_bytes")
	parsed.heapBytes = valueOf("go_memstats_heap_alloc_bytes")
	for _, m := range families["currantward_bytes_total"].GetMetric() {
		for _, label := range m.GetLabel() {
			switch label.GetValue() {
			case "workers":
				parsed.workerBytes += m.GetCounter().GetValue()
			case "peers":
				parsed.peerBytes += m.GetCounter().GetValue()
			case "platform":
				parsed.platformBytes += m.GetCounter().GetValue()
			}
		}
	}
	return parsed, nil
}
