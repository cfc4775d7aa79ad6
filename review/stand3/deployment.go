package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// startNote is the start of one run.
type startNote struct {
	Runner string
	Born   int64
	Task   string
	Run    int
	At     time.Time
}

// recorder writes what was sent, answered and run, one line for each, and keeps the starts.
type recorder struct {
	mu     sync.Mutex
	out    io.Writer
	begin  time.Time
	starts []startNote
	events []event
}

// event is one line of the record.
type event struct {
	name   string
	at     time.Time
	fields map[string]string
}

// note writes one line: the event and pairs of keys and values.
func (c *recorder) note(name string, pairs ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := event{name: name, at: time.Now(), fields: map[string]string{}}
	var b strings.Builder
	fmt.Fprintf(&b, "%8.3f %s", e.at.Sub(c.begin).Seconds(), name)
	for n := 0; n+1 < len(pairs); n += 2 {
		value := fmt.Sprint(pairs[n+1])
		e.fields[fmt.Sprint(pairs[n])] = value
		fmt.Fprintf(&b, " %v=%s", pairs[n], value)
	}
	fmt.Fprintln(c.out, b.String())
	c.events = append(c.events, e)
}

// start records the start of a run.
func (c *recorder) start(s startNote) {
	s.At = time.Now()
	c.note("run-started", "runner", s.Runner, "born", s.Born, "task", s.Task, "run", s.Run)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts = append(c.starts, s)
}

// startsOf returns the starts of one task, oldest first.
func (c *recorder) startsOf(task string) (list []startNote) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.starts {
		if s.Task == task {
			list = append(list, s)
		}
	}
	return list
}

// count returns the number of events with a name.
func (c *recorder) count(name string) (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.events {
		if e.name == name {
			n++
		}
	}
	return n
}

// eventsNamed returns the events with a name and a value of one field, oldest first.
func (c *recorder) eventsNamed(name, key, value string) (list []event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.events {
		if e.name == name && e.fields[key] == value {
			list = append(list, e)
		}
	}
	return list
}

// deployment is the project's own processes beside the stand-in of the store.
type deployment struct {
	rec     *recorder
	dir     string // of settings and logs
	bin     string // of the entry host's program
	standin string
	store   string // address of the store for entry hosts
	control string // address of the store for runners and operators
	fronts  []string
	ready   []string
	mu      sync.Mutex // of procs and stopped
	stopped bool
	procs   []*exec.Cmd
	client  *http.Client
	starter starter
}

// starter starts processes from a thread that lives as long as this process, as the kernel sends Pdeathsig when the starting thread ends.
type starter chan func()

// newStarter starts that thread.
func newStarter() starter {
	s := make(starter)
	go func() {
		runtime.LockOSThread()
		for f := range s {
			f()
		}
	}()
	return s
}

// start starts a process.
func (s starter) start(cmd *exec.Cmd) error {
	result := make(chan error)
	s <- func() { result <- cmd.Start() }
	return <-result
}

// freePort returns a port of a loopback address on which nothing listens.
func freePort(host string) (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// spawn starts a program whose output goes to a file of the temporary folder.
func (d *deployment) spawn(name string, env []string, program string, args ...string) error {
	out, err := os.Create(filepath.Join(d.dir, name+".log"))
	if err != nil {
		return err
	}
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr, cmd.Env = out, out, append(os.Environ(), env...)
	// The child gets SIGKILL if this process ends in any way.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.starter.start(cmd); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.procs = append(d.procs, cmd)
	if d.stopped {
		_ = cmd.Process.Kill()
		return errors.New("the case is over")
	}
	d.rec.note("process-started", "name", name, "pid", cmd.Process.Pid)
	return nil
}

// stop ends all processes that were started, and starts no more.
func (d *deployment) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopped = true
	for _, p := range d.procs {
		_ = p.Process.Signal(syscall.SIGKILL)
		_ = p.Wait()
	}
}

// startStore starts the project's stand-in of the store with a configuration.
func (d *deployment) startStore(configuration any) (err error) {
	if d.store, err = freePort("127.0.0.1"); err != nil {
		return err
	}
	if d.control, err = freePort("127.0.0.1"); err != nil {
		return err
	}
	data, err := json.Marshal(configuration)
	if err != nil {
		return err
	}
	path := filepath.Join(d.dir, "operator.json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	if err := d.spawn("store", nil, d.standin, "service", "--listen", d.store, "--control", d.control, "--configuration", path); err != nil {
		return err
	}
	return d.await("store", func() bool {
		conn, err := net.DialTimeout("tcp", d.control, time.Second)
		if err == nil {
			_ = conn.Close()
		}
		return err == nil
	})
}

// settings is the platform's settings file of an entry host, as DEPLOY.md shows it.
const settings = `node=front-%[1]d
role=entry-host
class=front
serves=front
ip=%[2]s
zone=cairo-%[1]d
region=cairo
listen.front=%[3]s
listen.ready=%[4]s
port_range=%[5]s,%[5]s
bootstrap=true
limits.cpu_share=0.4
limits.cores=1
limits.memory_mb=284
bounds.hold_max_ms=6000
bounds.stop_ms=200
bounds.status_s=120
platform.address=%[6]s
platform.across=true
platform.row_bytes=65536
`

// startFronts starts entry hosts, each on a loopback address of its own, and waits until they are ready and one owns the cell.
func (d *deployment) startFronts(count int) error {
	for n := 1; n <= count; n++ {
		ip := fmt.Sprintf("127.%d.%d.%d", 10+os.Getpid()%200, os.Getpid()/200%250, n)
		var addrs [3]string
		for k := range addrs {
			addr, err := freePort(ip)
			if err != nil {
				return err
			}
			addrs[k] = addr
		}
		_, peerPort, _ := net.SplitHostPort(addrs[2])
		path := filepath.Join(d.dir, fmt.Sprintf("front-%d.conf", n))
		if err := os.WriteFile(path, []byte(fmt.Sprintf(settings, n, ip, addrs[0], addrs[1], peerPort, d.store)), 0o600); err != nil {
			return err
		}
		if err := d.spawn(fmt.Sprintf("front-%d", n), []string{"CURRANTWARD_CONFIG=" + path}, d.bin, "node"); err != nil {
			return err
		}
		d.fronts, d.ready = append(d.fronts, addrs[0]), append(d.ready, addrs[1])
	}
	for _, addr := range d.ready {
		if err := d.await("front", func() bool { return d.status(http.MethodGet, addr, "/v1/ready", nil) == http.StatusOK }); err != nil {
			return err
		}
	}
	return nil
}

// await waits for a condition, for 15 s at most.
func (d *deployment) await(what string, ok func() bool) error {
	for range 300 {
		if ok() {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.New(what + " is not there in time")
}

// status makes a call and returns its status, 0 without a response.
func (d *deployment) status(method, addr, path string, body []byte) int {
	status, _ := d.call(method, addr, path, body)
	return status
}

// call makes a call and returns its status, 0 without a response, and body.
func (d *deployment) call(method, addr, path string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Host = "jobs.example"
	req.Header.Set("Content-Type", "application/json")
	resp, err := d.client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	answer, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, answer
}

// report writes the entry of a runner to the store, as the runner's report does.
func (d *deployment) report(id string, entry []byte) error {
	if status := d.status(http.MethodPut, d.control, "/workers/"+id, entry); status != http.StatusOK {
		return fmt.Errorf("the store answered %d", status)
	}
	return nil
}

// queuePrefix is the path prefix of the queue.
const queuePrefix = "/work/"

// step is one step of a job.
type step struct {
	Count        int  `json:"count"`
	CPU          int  `json:"cpu,omitempty"`
	MemMB        int  `json:"mem_mb,omitempty"`
	EstimateMS   int  `json:"estimate_ms,omitempty"`
	Gang         bool `json:"gang,omitempty"`
	LongRunning  bool `json:"long_running,omitempty"`
	AntiAffinity int  `json:"anti_affinity,omitempty"`
}

// submit hands in a job of one step, at one entry host after the other until it is accepted.
func (d *deployment) submit(id string, spec taskSpec, s step) error {
	payload, _ := json.Marshal(spec)
	body, _ := json.Marshal(map[string]any{"spec": string(payload), "steps": []step{s}})
	for n := range 40 {
		front := d.fronts[n%len(d.fronts)]
		status := d.status(http.MethodPost, front, queuePrefix+id, body)
		d.rec.note("job-sent", "job", id, "front", front, "steps", fmt.Sprintf("%+v", s), "spec", string(payload), "status", status)
		if status == http.StatusOK {
			return nil
		}
		time.Sleep(250 * time.Millisecond)
	}
	return errors.New("job " + id + " was not accepted")
}

// state asks for the state of a job.
func (d *deployment) state(id string) string {
	status, body := d.call(http.MethodGet, d.fronts[0], queuePrefix+id, nil)
	var answer struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(body, &answer)
	d.rec.note("job-asked", "job", id, "status", status, "state", answer.State)
	return answer.State
}
