// Package cwprocess runs the programs as separate processes, injects faults, and checks the scheduler's guarantees from what callers
// received and workers logged.
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

// LogLine is one line of a process's log, in key=value form.
type LogLine struct{ text string }

// Get returns the value of a key, or "" if the line lacks it.
func (l LogLine) Get(key string) string {
	for _, field := range strings.Fields(l.text) {
		if name, value, ok := strings.Cut(field, "="); ok && name == key {
			return strings.Trim(value, `"`)
		}
	}
	return ""
}

// logBuffer collects the log lines of one process.
type logBuffer struct {
	mu           sync.Mutex
	partial      []byte // output after the last line break
	lines        []LogLine
	linesChanged chan struct{} // closed and replaced when more output arrives
}

// Write appends output of the process. Package exec calls it.
func (b *logBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.partial = append(b.partial, data...)
	for {
		line, rest, ok := bytes.Cut(b.partial, []byte("\n"))
		if !ok {
			break
		}
		b.lines, b.partial = append(b.lines, LogLine{string(line)}), rest
	}
	close(b.linesChanged)
	b.linesChanged = make(chan struct{})
	return len(data), nil
}

// linesFrom returns the lines from index n on, and a channel that is closed when more output arrives.
func (b *logBuffer) linesFrom(n int) ([]LogLine, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lines[n:len(b.lines):len(b.lines)], b.linesChanged
}

// Process is a running or ended program.
type Process struct {
	Name     string
	KilledAt time.Time // recorded where a check needs it; otherwise zero
	command  *exec.Cmd
	log      *logBuffer
	ended    chan struct{} // closed when it has ended
	exitCode int           // valid once it has ended; -1 if a signal ended it
}

// StartProcess starts a program and collects its standard output and standard error.
func StartProcess(name, program string, args ...string) (p *Process, err error) {
	defer func() { err = eris.Wrapf(err, "start %s", name) }()
	p = &Process{Name: name, log: &logBuffer{linesChanged: make(chan struct{})}, ended: make(chan struct{})}
	p.command = exec.Command(program, args...)
	p.command.Stdout, p.command.Stderr = p.log, p.log
	if err = p.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		defer close(p.ended)
		_ = p.command.Wait()
		p.exitCode = p.command.ProcessState.ExitCode()
	}()
	return p, nil
}

// EventLines returns the lines that the process has logged for an event.
func (p *Process) EventLines(event string) (lines []LogLine) {
	all, _ := p.log.linesFrom(0)
	for _, line := range all {
		if line.Get("msg") == event {
			lines = append(lines, line)
		}
	}
	return lines
}

// AwaitEvent waits until the process has logged an event and returns the event's first line. It fails if the process ends before.
func (p *Process) AwaitEvent(ctx context.Context, event string) (LogLine, error) {
	for n := 0; ; {
		lines, changed := p.log.linesFrom(n)
		for _, line := range lines {
			if line.Get("msg") == event {
				return line, nil
			}
		}
		n += len(lines)
		select {
		case <-changed:
		case <-p.ended:
			return LogLine{}, fmt.Errorf("%s exited with code %d before the event %s: %s", p.Name, p.exitCode, event, p.logTail())
		case <-ctx.Done():
			return LogLine{}, fmt.Errorf("%s did not log the event %s in time: %s", p.Name, event, p.logTail())
		}
	}
}

// logTail returns the last lines of the log for error messages.
func (p *Process) logTail() string {
	const maxLines = 12
	lines, _ := p.log.linesFrom(0)
	var text []string
	for _, line := range lines[max(len(lines)-maxLines, 0):] {
		text = append(text, line.text)
	}
	return strings.Join(text, "\n")
}

// Kill kills the process and waits until it has ended.
func (p *Process) Kill() {
	_ = p.command.Process.Kill()
	<-p.ended
}

// Pause suspends the process until Resume.
func (p *Process) Pause() error { return p.signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (p *Process) Resume() error { return p.signal(syscall.SIGCONT) }

// signal sends a signal to the process.
func (p *Process) signal(s syscall.Signal) error {
	if err := p.command.Process.Signal(s); err != nil {
		return fmt.Errorf("%s: %w: %s", p.Name, err, p.logTail())
	}
	return nil
}

// Reload signals the process to read its settings again.
func (p *Process) Reload() error { return p.signal(syscall.SIGHUP) }

// Log returns all complete lines that the process has logged.
func (p *Process) Log() []byte {
	var b bytes.Buffer
	lines, _ := p.log.linesFrom(0)
	for _, line := range lines {
		b.WriteString(line.text + "\n")
	}
	return b.Bytes()
}

// Terminate requests a graceful shutdown, waits until the process has ended and returns its exit code.
func (p *Process) Terminate(ctx context.Context) (code int, err error) {
	_ = p.command.Process.Signal(syscall.SIGTERM)
	return p.Wait(ctx)
}

// Wait waits until the process has ended and returns its exit code.
func (p *Process) Wait(ctx context.Context) (code int, err error) {
	select {
	case <-p.ended:
		return p.exitCode, nil
	case <-ctx.Done():
		return 0, fmt.Errorf("%s did not exit in time: %s", p.Name, p.logTail())
	}
}

// Programs are the paths of the built programs: the scheduler, and the stand-ins of the platform and of the workers.
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
