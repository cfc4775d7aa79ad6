package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	nodeCount   = 3
	runnerCount = 16
	serviceName = "huvo11a"
	queueHost   = "jobs.example"
	queuePath   = "/pule252/"
	callTime    = 3 * time.Second // deadline_ms of the clients
)

// settingsFormat is the settings file of an entry host, with the bounds of nilecraft-sched.
const settingsFormat = `node=front-z%[1]d-1
role=entry-host
class=front
serves=front
ip=%[2]s
zone=z%[1]d
region=r
zones.z1=r
zones.z2=r
zones.z3=r
listen.front=%[2]s:8161
listen.ready=%[2]s:8167
port_range=7720,7735
seeds=
bootstrap=true
counts_loss=false
limits.cpu_share=0.4
limits.cores=1
limits.memory_mb=284
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=vip
heartbeat_ms=1500
contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing
tolerate.machines=2
tolerate.zones=1
tolerate.regions=0
bounds.contact_ms=3000
bounds.ack_ms=4000
bounds.drain_ms=2000
bounds.grace_s=6
bounds.hold_max_ms=6000
bounds.stop_ms=200
bounds.gang_timeout_ms=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.status_s=120
bounds.lease_ms=3000
orders=push
platform.address=%[3]s
platform.form=table
platform.writes_per_s=800
platform.reads_per_s=2000
platform.txn_ms=4.0
platform.part_writes_s=250
platform.row_bytes=65536
platform.across=true
platform.history_s=20
`

// cluster is a small deployment.
type cluster struct {
	rec     *recorder
	folder  string
	program string
	subnet  string
	hosts   string // address of the store for entry hosts
	control string
	store   *exec.Cmd
	nodes   []*exec.Cmd
	runners []*runner
	client  *http.Client
}

// startCluster starts a deployment and waits until it serves.
func startCluster(program string, rec *recorder) (c *cluster, err error) {
	c = &cluster{rec: rec, client: &http.Client{Timeout: callTime}}
	if c.program, err = filepath.Abs(program); err != nil {
		return nil, err
	}
	if c.folder, err = os.MkdirTemp("", "stand2"); err != nil {
		return nil, err
	}
	if c.subnet, err = freeSubnet(); err != nil {
		return c, err
	}
	c.hosts, c.control = c.subnet+".100:8169", c.subnet+".100:8170"
	if err = c.startStore(); err != nil {
		return c, err
	}
	for n := range runnerCount {
		r, err := newRunner(fmt.Sprintf("i-%02d", n), serviceName, rec)
		if err != nil {
			return c, err
		}
		go r.report(c.control)
		c.runners = append(c.runners, r)
	}
	for n := range nodeCount {
		if err = c.startNode(n); err != nil {
			return c, err
		}
	}
	return c, c.awaitReady(20 * time.Second)
}

// freeSubnet returns the first three bytes of loopback addresses on which the ports of a deployment are free.
func freeSubnet() (string, error) {
	for range 50 {
		subnet := fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), 1+rand.IntN(250))
		free := true
		for _, addr := range []string{".1:8161", ".2:8161", ".3:8161", ".100:8169", ".100:8170", ".1:9464", ".1:7720", ".1:8167"} {
			listener, err := net.Listen("tcp", subnet+addr)
			if err != nil {
				free = false
				break
			}
			_ = listener.Close()
		}
		if free {
			return subnet, nil
		}
	}
	return "", errors.New("no free loopback addresses")
}

// command returns a process of the deployment, which ends with this one.
func (c *cluster) command(program string, logName string, args ...string) (*exec.Cmd, error) {
	cmd := exec.Command(program, args...)
	log, err := os.OpenFile(filepath.Join(c.folder, logName), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return cmd, nil
}

// startStore starts the store's stand-in and writes the configuration.
func (c *cluster) startStore() error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	if c.store, err = c.command(self, "store.log", "--hosts", c.hosts, "--control", c.control, "store"); err != nil {
		return err
	}
	if err = c.store.Start(); err != nil {
		return err
	}
	route := map[string]any{
		"name": "r-1", "host": queueHost, "path_prefix": queuePath, "kind": "non_idempotent", "timeout_ms": 3000, "target_latency_ms": 250,
		"priority": 0, "service": serviceName, "max_attempts": 2, "stretch": 1.5,
	}
	config := map[string]any{
		"version": 7, "routes": []any{route},
		"services": []any{map[string]any{"name": serviceName, "enforces_capacity": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144},
	}
	body, err := json.Marshal(config)
	if err != nil {
		return err
	}
	for range 100 {
		var request *http.Request
		if request, err = http.NewRequest(http.MethodPut, "http://"+c.control+"/rows/op/config", bytes.NewReader(body)); err != nil {
			return err
		}
		var response *http.Response
		if response, err = c.client.Do(request); err == nil {
			return response.Body.Close()
		}
		time.Sleep(50 * time.Millisecond)
	}
	return err
}

// ip returns the address of an entry host.
func (c *cluster) ip(n int) string { return fmt.Sprintf("%s.%d", c.subnet, n+1) }

// startNode starts an entry host with the command of the deploy file.
func (c *cluster) startNode(n int) error {
	path := filepath.Join(c.folder, fmt.Sprintf("boot-%d.conf", n))
	if err := os.WriteFile(path, fmt.Appendf(nil, settingsFormat, n+1, c.ip(n), c.hosts), 0o600); err != nil {
		return err
	}
	cmd, err := c.command(c.program, fmt.Sprintf("node-%d.log", n), "node")
	if err != nil {
		return err
	}
	cmd.Env = append(os.Environ(), "CURRANTWARD_CONFIG="+path)
	if err = cmd.Start(); err != nil {
		return err
	}
	if n < len(c.nodes) {
		c.nodes[n] = cmd
	} else {
		c.nodes = append(c.nodes, cmd)
	}
	c.rec.printf("entry host %d started at %s", n, c.ip(n))
	return nil
}

// awaitReady waits until all entry hosts are ready and know the number of waiting jobs.
func (c *cluster) awaitReady(timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for n := range c.nodes {
		for !c.isReady(n) {
			if time.Now().After(deadline) {
				return fmt.Errorf("entry host %d is not ready", n)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// isReady reports whether an entry host is ready and knows the number of waiting jobs.
func (c *cluster) isReady(n int) bool {
	response, err := c.client.Get("http://" + c.ip(n) + ":8167/v1/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	status, _ := c.call(n, http.MethodGet, "", nil)
	return response.StatusCode == http.StatusOK && status == http.StatusOK
}

// call sends a request about a job to an entry host. Without an answer the status is 0.
func (c *cluster) call(n int, method, id string, body []byte) (status int, answer string) {
	request, err := http.NewRequest(method, "http://"+c.ip(n)+":8161"+queuePath+id, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = queueHost
	response, err := c.client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	data, _ := io.ReadAll(response.Body)
	return response.StatusCode, strings.TrimSpace(string(data))
}

// request calls entry hosts in turn until one gives a final answer, as the clients of the platform do: not none, 502, 503 or 504. It
// returns the last status after tries.
func (c *cluster) request(method, id string, body []byte, tries int) (status int, answer string) {
	first := rand.IntN(len(c.nodes))
	for try := range tries {
		n := (first + try) % len(c.nodes)
		status, answer = c.call(n, method, id, body)
		c.rec.printf("%s %s at host %d: %d %s", method, id, n, status, answer)
		switch status {
		case 0, http.StatusBadGateway, http.StatusGatewayTimeout:
		case http.StatusServiceUnavailable:
			time.Sleep(time.Second)
		default:
			return status, answer
		}
	}
	return status, answer
}

// storeSize returns what the store's stand-in says of a table.
func (c *cluster) storeSize(table string) string {
	response, err := c.client.Get("http://" + c.control + "/size/" + table)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	data, _ := io.ReadAll(response.Body)
	return string(data)
}

// owner returns the number of the entry host that gives the orders at present, by the row that it renews in the store.
func (c *cluster) owner() (int, error) {
	response, err := c.client.Get("http://" + c.control + "/rows/cell/lease")
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	var lease struct {
		Holder string `json:"holder"`
	}
	if err := json.NewDecoder(response.Body).Decode(&lease); err != nil {
		return 0, err
	}
	for n := range c.nodes {
		if lease.Holder == nodeName(n) {
			return n, nil
		}
	}
	return 0, fmt.Errorf("no entry host is named %q", lease.Holder)
}

// killNode kills an entry host and starts it again after a short delay.
func (c *cluster) killNode(n int, delay time.Duration) error {
	c.rec.printf("entry host %d is killed", n)
	if err := c.nodes[n].Process.Kill(); err != nil {
		return err
	}
	_ = c.nodes[n].Wait() // it was killed
	time.Sleep(delay)
	return c.startNode(n)
}

// nodeName returns the name of an entry host.
func nodeName(n int) string { return fmt.Sprintf("front-z%d-1", n+1) }

// lose makes the store's stand-in leave a share of the transactions unanswered, in per cent.
func (c *cluster) lose(percent int) error {
	response, err := c.client.Post(fmt.Sprintf("http://%s/lose/%d", c.control, percent), "", nil)
	if err != nil {
		return err
	}
	c.rec.printf("answers of the store are lost: %d per cent", percent)
	return response.Body.Close()
}

// stop ends all processes.
func (c *cluster) stop() {
	for _, cmd := range append([]*exec.Cmd{c.store}, c.nodes...) {
		if cmd != nil && cmd.Process != nil {
			_ = cmd.Process.Kill()
			_ = cmd.Wait()
		}
	}
	if keep := os.Getenv("KEEP_LOGS"); keep == "" {
		_ = os.RemoveAll(c.folder)
	} else {
		fmt.Println("logs:", c.folder)
	}
}

// newID returns an identifier of a job.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// job returns the body of a job of one step, without a schedule.
func job(count int, work time.Duration) []byte {
	spec, _ := json.Marshal(taskSpec{WorkMS: work.Milliseconds()})
	body, _ := json.Marshal(map[string]any{
		"spec": string(spec), "steps": []any{map[string]any{"count": count, "cpu": 100, "mem_mb": 64, "estimate_ms": work.Milliseconds()}},
	})
	return body
}

// runnerOf returns the runner on which a task runs, or nil.
func (c *cluster) runnerOf(task string) *runner {
	for _, r := range c.runners {
		if r.isRunning(task) {
			return r
		}
	}
	return nil
}
