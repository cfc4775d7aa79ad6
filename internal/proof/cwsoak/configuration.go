package cwsoak

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"currantward/internal/base/cwtimer"
	"currantward/internal/proof/cwprocess"
	"currantward/platform/cwstandin"
)

// inForceTimeout is the time after its acknowledgement by which a version of the configuration must be in force on every node.
const inForceTimeout = 3 * time.Second

// ConfigurationRun is a run without faults in which only the configuration changes.
type ConfigurationRun struct {
	Nodes       int
	NarrowNodes int           // of the nodes, reach the store over a link of 10 Mbit/s
	Queues      int           // number of queues in each version but the first
	Changes     int           // number of versions after the first
	Pause       time.Duration // from the acknowledgement of one version to the next write
}

// RunConfigurationChanges changes the configuration several times, and returns a text for each version that is not in force on a node
// in time. It saves the logs of all processes in a folder if there is one.
func RunConfigurationChanges(run ConfigurationRun, programs cwprocess.Programs, timer *cwtimer.Service, folder, logs string) (violations []string, err error) {
	defer func() { err = eris.Wrap(err, "run changes of the configuration") }()
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	c, stop, err := StartCluster(ctx, Options{Programs: programs, Folder: folder, Timer: timer, Nodes: run.Nodes, NarrowNodes: run.NarrowNodes, Racks: 1, Runners: 1})
	if err != nil {
		return nil, err
	}
	defer stop()
	c.bulkQueues.Store(int64(run.Queues))
	if violations, err = c.changeConfiguration(run.Changes, run.Pause); err == nil && len(violations) > 0 {
		err = c.SaveLogs(logs)
	}
	return violations, err
}

// changeConfiguration writes versions of the configuration with a pause after each, and returns a text for each one that is not in force
// on a node in time.
func (c *Cluster) changeConfiguration(changes int, pause time.Duration) (violations []string, err error) {
	client, stop := newClient(c.opts.Nodes)
	defer stop()
	var checks sync.WaitGroup
	var mu sync.Mutex
	for range changes {
		if err = c.putNextConfiguration(); err != nil {
			break
		}
		version, acknowledgedAt := c.newestVersion.Load(), c.opts.Timer.Now()
		for _, n := range c.currentNodes() {
			checks.Go(func() {
				queue := &cwstandin.Client{HTTP: client, Host: queueHostname, Prefix: addedPrefix(version), Timeout: callTimeout}
				if status := c.awaitInForce(n, queue, acknowledgedAt.Add(inForceTimeout)); status != fasthttp.StatusOK {
					mu.Lock()
					defer mu.Unlock()
					violations = append(violations, fmt.Sprintf("%s does not use configuration %d after %s: status %d", n.name, version, inForceTimeout, status))
				}
			})
		}
		c.opts.Timer.Sleep(nil, pause)
	}
	checks.Wait()
	slices.Sort(violations)
	return violations, err
}

// awaitInForce looks up a queue at a node until it is found or a deadline has passed, and returns the last status.
func (c *Cluster) awaitInForce(n *node, queue *cwstandin.Client, deadline time.Time) (status int) {
	for c.opts.Timer.Now().Before(deadline) {
		if status = queue.Lookup(n.settings.CallerListen, "").Status; status == fasthttp.StatusOK {
			return status
		}
		c.opts.Timer.Sleep(nil, 50*time.Millisecond)
	}
	return status
}
