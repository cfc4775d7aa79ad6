package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"currantward/internal/base/cwlog"
	"currantward/internal/base/cwtimer"
	"currantward/platform/cwstandin"
)

// Names in the configuration.
const (
	serviceName = "repair-portal"
	hostName    = "jobs.example"
	prefix      = "/motor-diag/"
	labelled    = "/batt-report/" // a second queue, whose jobs need a label
	maxAttempts = 4
)

// node is one process of the system.
type node struct {
	name    string
	ip      string
	process *exec.Cmd
	done    chan struct{}
}

// cluster is a small deployment: the stand-in of the store, runners and nodes.
type cluster struct {
	record  *record
	folder  string
	nodes   []*node
	runners []*runner
	spans   *spans
	control string
	stops   []func()
	client  *http.Client

	mu   sync.Mutex
	jobs []*job
}

// job is a job that a client has sent.
type job struct {
	id       string
	queue    string
	tasks    int
	sentAt   time.Duration
	accepted time.Duration // zero: not accepted
}

// newCluster starts the stand-in of the store, with one configuration.
func newCluster(rec *record) (c *cluster, err error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	c = &cluster{record: rec, folder: folder, spans: &spans{}, client: &http.Client{Timeout: 3 * time.Second}}
	timer, stopTimer := cwtimer.New()
	c.stops = append(c.stops, func() { _ = os.RemoveAll(folder) }, stopTimer)
	route := func(path string, priority int) map[string]any {
		return map[string]any{
			"host": hostName, "path_prefix": path, "service": serviceName, "priority": priority, "max_attempts": maxAttempts, "stretch": 2.2, "target_latency_ms": 1000,
		}
	}
	configuration, err := json.Marshal(map[string]any{
		"version": 1, "routes": []any{route(prefix, 1), route(labelled, 1)},
		"services": []any{map[string]any{"name": serviceName}}, "limits": map[string]any{"max_body_bytes": 262144},
	})
	if err != nil {
		return nil, err
	}
	any0 := netip.MustParseAddrPort("127.0.0.1:0")
	storeAddr, controlAddr, stop, err := cwstandin.Serve(cwstandin.ServiceOptions{
		Listen: any0, Control: any0, Configuration: configuration, Timer: timer, Log: cwlog.New(io.Discard, logrus.ErrorLevel),
	})
	if err != nil {
		return nil, err
	}
	c.stops = append(c.stops, stop)
	c.control = controlAddr.String()
	return c, c.prepareNodes(storeAddr.String())
}

// Count of the nodes.
const nodeCount = 3

// prepareNodes writes the settings file of each node.
func (c *cluster) prepareNodes(store string) error {
	subnet := fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), rand.IntN(250))
	for n := range nodeCount {
		nd := &node{name: fmt.Sprintf("front-z%d-1", n+1), ip: fmt.Sprintf("%s.%d", subnet, n+1)}
		lines := []string{
			"node=" + nd.name, "role=entry-host", "class=front", "serves=front", "ip=" + nd.ip, fmt.Sprintf("zone=z%d", n+1), "region=r",
			"zones.z1=r", "zones.z2=r", "zones.z3=r", "listen.front=" + nd.ip + ":8161", "listen.ready=" + nd.ip + ":8167", "port_range=7720,7735",
			"bootstrap=true", "counts_loss=false", "limits.cpu_share=0.4", "limits.cores=1", "limits.memory_mb=284", "limits.max_fds=4100",
			"limits.link_mbps=1000.0", "discovery=platform", "entry=vip", "heartbeat_ms=1000",
			"contracts=base,drain,config,cost,recover,sched,platform", "bounds.contact_ms=3000", "bounds.ack_ms=4000", "bounds.drain_ms=2000",
			"bounds.grace_s=6", "bounds.hold_max_ms=6000", "bounds.stop_ms=200", "bounds.gang_timeout_ms=3000", "bounds.cancel_ms=3000",
			"bounds.visible_ms=3000", "bounds.finish_s=14", "bounds.status_s=120", "orders=push", "platform.address=" + store,
			"platform.form=table", "platform.across=true", "platform.row_bytes=65536",
		}
		if err := os.WriteFile(c.settings(nd), []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
			return err
		}
		c.nodes = append(c.nodes, nd)
	}
	return nil
}

// settings returns the path of a node's settings file.
func (c *cluster) settings(n *node) string { return filepath.Join(c.folder, n.name+".conf") }

// startNode starts the process of a node with the command of the deploy file.
func (c *cluster) startNode(n *node) error {
	out, err := os.OpenFile(filepath.Join(c.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.process = exec.Command("target/currantward", "node")
	n.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CURRANTWARD_CONFIG=" + c.settings(n)}
	n.process.Stdout, n.process.Stderr = out, out
	n.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // also if the harness is killed
	if err = n.process.Start(); err != nil {
		return errors.Join(err, out.Close())
	}
	n.done = make(chan struct{})
	go func() {
		err := n.process.Wait()
		c.record.add("process of %s ended: %v", n.name, err)
		_ = out.Close()
		close(n.done)
	}()
	c.record.add("process of %s started", n.name)
	return nil
}

// startNodes starts all nodes and waits until they are ready.
func (c *cluster) startNodes() error {
	for _, n := range c.nodes {
		if err := c.startNode(n); err != nil {
			return err
		}
	}
	for _, n := range c.nodes {
		if err := c.awaitReady(n); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until a node answers its readiness check with 200.
func (c *cluster) awaitReady(n *node) error {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if status, _, err := c.call(http.MethodGet, "http://"+n.ip+":8167/v1/ready", nil); err == nil && status == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", n.name)
}

// addRunner adds a runner that is not started yet.
func (c *cluster) addRunner(id, kind string, milliCores int) (*runner, error) {
	g, err := newGate()
	if err != nil {
		return nil, err
	}
	r := &runner{id: id, kind: kind, rack: "r1", milliCores: milliCores, control: c.control, gate: g, record: c.record, spans: c.spans}
	c.runners = append(c.runners, r)
	return r, nil
}

// close ends all processes and stand-ins.
func (c *cluster) close() {
	for _, n := range c.nodes {
		if n.process != nil {
			_ = n.process.Process.Signal(syscall.SIGKILL)
			<-n.done
		}
	}
	for _, r := range c.runners {
		if r.life != nil && !r.life.dead {
			r.crash()
		}
	}
	if folder := os.Getenv("KEEP_LOGS"); folder != "" {
		_ = os.CopyFS(folder, os.DirFS(c.folder))
	}
	for n := len(c.stops) - 1; n >= 0; n-- {
		c.stops[n]()
	}
}

// call sends a request to a node or stand-in.
func (c *cluster) call(method, url string, body []byte) (status int, answer []byte, err error) {
	q, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	q.Host = hostName
	q.Header.Set("Content-Type", "application/json")
	response, err := c.client.Do(q)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err = io.ReadAll(response.Body)
	return response.StatusCode, answer, err
}

// put sends a PUT request.
func put(url string, body []byte, timeout time.Duration) error {
	q, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := (&http.Client{Timeout: timeout}).Do(q)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}

// step is the JSON form of a step.
type step struct {
	Count      int    `json:"count"`
	CPU        int    `json:"cpu"`
	MemMB      int    `json:"mem_mb"`
	EstimateMS int    `json:"estimate_ms"`
	Requires   string `json:"requires,omitempty"`
	Apart      int    `json:"anti_affinity,omitempty"`
	Lasting    bool   `json:"long_running,omitempty"`
}

// submit sends a job to a node, again at the next one after no answer or a 502, 503 or 504, and returns it. Its tasks run as long
// as the number of milliseconds that spec begins with.
func (c *cluster) submit(queue, spec string, s step) *job {
	j := &job{id: fmt.Sprintf("%016x", rand.Uint64()), queue: queue, tasks: s.Count, sentAt: c.record.now()}
	body, _ := json.Marshal(map[string]any{"spec": spec, "steps": []step{s}})
	c.mu.Lock()
	c.jobs = append(c.jobs, j)
	first := len(c.jobs)
	c.mu.Unlock()
	for try := range 5 {
		n := c.nodes[(first+try)%len(c.nodes)]
		status, _, err := c.call(http.MethodPost, "http://"+n.ip+":8161"+queue+j.id, body)
		c.record.add("client: POST %s%s (%d tasks, spec %q) at %s: %d %v", queue, j.id, s.Count, spec, n.name, status, errText(err))
		if err == nil && status/100 == 2 {
			c.mu.Lock()
			j.accepted = c.record.now()
			c.mu.Unlock()
			return j
		}
		time.Sleep(200 * time.Millisecond)
	}
	return j
}

// errText returns the text of an error, or nothing.
func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// state asks a node for the state of a job. It is empty if the answer has none.
func (c *cluster) state(n *node, j *job) (status int, state string) {
	status, answer, err := c.call(http.MethodGet, "http://"+n.ip+":8161"+j.queue+j.id, nil)
	var body struct {
		State string `json:"state"`
	}
	if err == nil {
		_ = json.Unmarshal(answer, &body)
	}
	return status, body.State
}

// pending asks a node for the count of a queue's jobs that have not begun; ok is false without an answer.
func (c *cluster) pending(n *node, queue string) (count int, ok bool) {
	status, answer, err := c.call(http.MethodGet, "http://"+n.ip+":8161"+queue, nil)
	body := struct {
		Pending int `json:"pending"`
	}{-1}
	if err != nil || status != http.StatusOK || json.Unmarshal(answer, &body) != nil || body.Pending < 0 {
		return 0, false
	}
	return body.Pending, true
}

// acceptedJobs returns the accepted jobs.
func (c *cluster) acceptedJobs() (list []*job) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, j := range c.jobs {
		if j.accepted > 0 {
			list = append(list, j)
		}
	}
	return list
}

// awaitCompleted asks for the states of the accepted jobs until all are completed or the time is over, and returns the others with
// their last states.
func (c *cluster) awaitCompleted(timeout time.Duration) (open map[*job]string) {
	for end := time.Now().Add(timeout); ; time.Sleep(500 * time.Millisecond) {
		open = map[*job]string{}
		for n, j := range c.acceptedJobs() {
			if status, state := c.state(c.nodes[n%len(c.nodes)], j); state != "completed" {
				open[j] = fmt.Sprintf("%d %s", status, state)
			}
		}
		if len(open) == 0 || time.Now().After(end) {
			return open
		}
	}
}
