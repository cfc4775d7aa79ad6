// Package cwprocess runs the programs as separate processes, injects faults and checks what must always hold.
package cwprocess

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"currantward/internal/proof/cwdocs"
)

// LogLine is one event of a process's log.
type LogLine struct{ text string }

// Get returns the value of one key of the line, or "".
func (l LogLine) Get(key string) string {
	for _, field := range strings.Fields(l.text) {
		if name, value, ok := strings.Cut(field, "="); ok && name == key {
			return strings.Trim(value, `"`)
		}
	}
	return ""
}

// journal collects the lines of one process's log.
type journal struct {
	mu      sync.Mutex
	rest    []byte
	lines   []LogLine
	changed chan struct{}
}

// Write takes what the process wrote; it is called by package exec.
func (j *journal) Write(data []byte) (int, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.rest = append(j.rest, data...)
	for {
		line, rest, ok := bytes.Cut(j.rest, []byte("\n"))
		if !ok {
			break
		}
		j.lines, j.rest = append(j.lines, LogLine{string(line)}), rest
	}
	close(j.changed)
	j.changed = make(chan struct{})
	return len(data), nil
}

// after returns the lines from index n on and a channel that closes when more come.
func (j *journal) after(n int) ([]LogLine, <-chan struct{}) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.lines[n:len(j.lines):len(j.lines)], j.changed
}

// Process is one started program.
type Process struct {
	Name     string
	KilledAt time.Time // zero unless it was killed
	command  *exec.Cmd
	journal  *journal
	ended    chan struct{}
	code     int
}

// StartProcess starts a program and collects its log.
func StartProcess(name, program string, args ...string) (p *Process, err error) {
	defer func() { err = eris.Wrapf(err, "start %s", name) }()
	p = &Process{Name: name, journal: &journal{changed: make(chan struct{})}, ended: make(chan struct{})}
	p.command = exec.Command(program, args...)
	p.command.Stdout, p.command.Stderr = p.journal, p.journal
	if err = p.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		defer close(p.ended)
		_ = p.command.Wait()
		p.code = p.command.ProcessState.ExitCode()
	}()
	return p, nil
}

// EventLines returns all events of one kind that the process has logged.
func (p *Process) EventLines(event string) (lines []LogLine) {
	all, _ := p.journal.after(0)
	for _, line := range all {
		if line.Get("msg") == event {
			lines = append(lines, line)
		}
	}
	return lines
}

// AwaitEvent returns the first event of one kind, and an error if the process ends before.
func (p *Process) AwaitEvent(ctx context.Context, event string) (LogLine, error) {
	for n := 0; ; {
		lines, changed := p.journal.after(n)
		for _, line := range lines {
			if line.Get("msg") == event {
				return line, nil
			}
		}
		n += len(lines)
		select {
		case <-changed:
		case <-p.ended:
			return LogLine{}, fmt.Errorf("%s ended with code %d before %s: %s", p.Name, p.code, event, p.tail())
		case <-ctx.Done():
			return LogLine{}, fmt.Errorf("%s: no %s in time: %s", p.Name, event, p.tail())
		}
	}
}

// tail returns the end of the log for an error message.
func (p *Process) tail() string {
	const most = 12
	lines, _ := p.journal.after(0)
	var text []string
	for _, line := range lines[max(len(lines)-most, 0):] {
		text = append(text, line.text)
	}
	return strings.Join(text, "\n")
}

// Kill ends the process at once.
func (p *Process) Kill() {
	_ = p.command.Process.Kill()
	<-p.ended
}

// Pause stops the process until Resume.
func (p *Process) Pause() error { return p.signal(syscall.SIGSTOP) }

// Resume lets a paused process go on.
func (p *Process) Resume() error { return p.signal(syscall.SIGCONT) }

func (p *Process) signal(s syscall.Signal) error {
	if err := p.command.Process.Signal(s); err != nil {
		return fmt.Errorf("%s: %w: %s", p.Name, err, p.tail())
	}
	return nil
}

// Reload tells the process that its settings have changed.
func (p *Process) Reload() error { return p.signal(syscall.SIGHUP) }

// Log returns what the process has logged.
func (p *Process) Log() []byte {
	var b bytes.Buffer
	lines, _ := p.journal.after(0)
	for _, line := range lines {
		b.WriteString(line.text + "\n")
	}
	return b.Bytes()
}

// Terminate asks the process to end and waits for its exit code.
func (p *Process) Terminate(ctx context.Context) (code int, err error) {
	_ = p.command.Process.Signal(syscall.SIGTERM)
	return p.Wait(ctx)
}

// Wait returns the exit code once the process has ended.
func (p *Process) Wait(ctx context.Context) (code int, err error) {
	select {
	case <-p.ended:
		return p.code, nil
	case <-ctx.Done():
		return 0, fmt.Errorf("%s did not end in time: %s", p.Name, p.tail())
	}
}

// Programs are the paths of the built programs.
type Programs struct{ Currantward, StandIn string }

// Build builds the programs of the module into a folder.
func Build(folder string) (programs Programs, err error) {
	defer func() { err = eris.Wrap(err, "build programs") }()
	root, err := cwdocs.Root()
	if err != nil {
		return programs, err
	}
	command := exec.Command("go", "build", "-o", folder+string(os.PathSeparator), "./cmd/currantward", "./cmd/standin")
	command.Dir = root
	if out, err := command.CombinedOutput(); err != nil {
		return programs, fmt.Errorf("%w: %s", err, out)
	}
	return Programs{filepath.Join(folder, "currantward"), filepath.Join(folder, "standin")}, nil
}

// IsEnded reports whether the process has ended.
func (p *Process) IsEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}
