// Package cwexplain prints the history of one job from the logs of the entry hosts. A request about the job may identify it.
package cwexplain

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"

	"currantward/internal/base/cwfault"
	"currantward/internal/core/cwmodel"
)

// Line is one log line about a job.
type Line struct {
	At     time.Time
	Host   string
	Event  string
	Fields []Field // other fields except the level, in the order of the log
}

// Field is one key and value of a line.
type Field struct{ Key, Value string }

// maxLineBytes bounds the length of the lines that are read; longer ones are skipped.
const maxLineBytes = 64 << 10

// JobsOfRequest returns the jobs that the lines about a request name, each once.
func JobsOfRequest(lines []Line, request string) (jobs []cwmodel.JobID) {
	for _, l := range lines {
		if !slices.Contains(l.Fields, Field{keyRequest, request}) {
			continue
		}
		for _, f := range l.Fields {
			if id := cwmodel.JobID(f.Value); f.Key == keyJob && !slices.Contains(jobs, id) {
				jobs = append(jobs, id)
			}
		}
	}
	return jobs
}

// Keys of the fields that identify the subject of a line.
const (
	keyRequest = "request"
	keyJob     = "job"
	keyTask    = "task"
	keyStep    = "step"
)

// Collect reads a log and returns its lines about the job, task, step or request with an identifier, and about the tasks and
// steps within it.
func Collect(r io.Reader, id string) (lines []Line, err error) {
	in := bufio.NewReaderSize(r, maxLineBytes)
	for {
		text, tooLong, err := in.ReadLine()
		switch {
		case errors.Is(err, io.EOF):
			return lines, nil
		case err != nil:
			return lines, cwfault.New(cwfault.Invalid, "read the log: %v", err)
		case tooLong || !bytes.Contains(text, []byte(id)):
			continue
		}
		if line, ok := parseMatching(text, id); ok {
			lines = append(lines, line)
		}
	}
}

// parseMatching decodes one line about the job, task, step or request with the given ID, or about a task or step whose ID begins with it
// and a dot. It returns false for text that is not a line of our logs, and for lines about anything else.
func parseMatching(text []byte, id string) (line Line, ok bool) {
	decoder := logfmt.NewDecoder(bytes.NewReader(text))
	if !decoder.ScanRecord() {
		return line, false
	}
	for decoder.ScanKeyval() {
		key, value := string(decoder.Key()), string(decoder.Value())
		switch key {
		case "time":
			at, err := time.Parse(time.RFC3339Nano, value)
			if err != nil {
				return line, false
			}
			line.At = at
		case "msg":
			line.Event = value
		case "host":
			line.Host = value
		case "level":
		default:
			if value != "" {
				line.Fields = append(line.Fields, Field{key, value})
			}
		}
		switch key {
		case keyJob, keyTask, keyStep, keyRequest:
			ok = ok || value == id || strings.HasPrefix(value, id+".")
		}
	}
	return line, ok && line.Event != "" && !line.At.IsZero()
}

// Write sorts lines by time and prints each with the time since the first.
func Write(w io.Writer, lines []Line) error {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
	for _, l := range lines {
		text := fmt.Sprintf("%s %+9.3fs %-20s %-16s", l.At.UTC().Format("15:04:05.000"), l.At.Sub(lines[0].At).Seconds(), l.Host, l.Event)
		for _, f := range l.Fields {
			text += " " + f.Key + "=" + f.Value
		}
		if _, err := fmt.Fprintln(w, text); err != nil {
			return err
		}
	}
	return nil
}
