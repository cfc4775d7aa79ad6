package cwcommand

import (
	"bytes"
	"io"
	"os"

	"currantward/internal/app/cwexplain"
	"currantward/internal/base/cwfault"
)

type explainArgs struct {
	ID   string   `arg:"positional,required" help:"identifier of a job or of a request about it"`
	Logs []string `arg:"positional" help:"logs of the entry hosts; by default the standard input"`
}

// explain prints the history of one job from the logs of entry hosts. The ID is that of the job or of a request about it.
func (r *commandRunner) explain(a *explainArgs) (err error) {
	logs, err := newLogSources(a.Logs)
	if err != nil {
		return err
	}
	lines, err := collectLines(logs, a.ID)
	if err != nil {
		return err
	}
	if jobs := cwexplain.JobsOfRequest(lines, a.ID); len(jobs) > 0 {
		// The ID is that of a request, which only the lines of its responses name: collect again by job.
		lines = nil
		for _, job := range jobs {
			found, err := collectLines(logs, string(job))
			if err != nil {
				return err
			}
			lines = append(lines, found...)
		}
	}
	if len(lines) == 0 {
		return cwfault.New(cwfault.NotFound, "no line of these logs names %s", a.ID)
	}
	return cwexplain.Write(r.stdout, lines)
}

// logSource passes the content of one log to consume. It can be called repeatedly, since explain reads the logs again for each job of a request.
type logSource func(consume func(io.Reader) error) error

// newLogSources returns one source for each path, which opens the file at each call. Without paths it returns a source for standard input, which it
// buffers because standard input can be read only once.
func newLogSources(paths []string) (logs []logSource, err error) {
	if len(paths) == 0 {
		data, err := io.ReadAll(os.Stdin)
		if err != nil {
			return nil, cwfault.New(cwfault.Invalid, "read the standard input: %v", err)
		}
		return []logSource{func(consume func(io.Reader) error) error { return consume(bytes.NewReader(data)) }}, nil
	}
	for _, path := range paths {
		logs = append(logs, func(consume func(io.Reader) error) error { return scanFile(path, consume) })
	}
	return logs, nil
}

// collectLines returns the lines of all logs that name the job or request with the given ID.
func collectLines(logs []logSource, id string) (lines []cwexplain.Line, err error) {
	for _, source := range logs {
		err = source(func(r io.Reader) error {
			found, err := cwexplain.Collect(r, id)
			lines = append(lines, found...)
			return err
		})
		if err != nil {
			return nil, err
		}
	}
	return lines, nil
}

// scanFile opens a file and passes its content to consume.
func scanFile(path string, consume func(io.Reader) error) (err error) {
	file, err := os.Open(path)
	if err != nil {
		return cwfault.New(cwfault.Invalid, "%v", err)
	}
	defer func() { _ = file.Close() }() // read only: an error of Close loses nothing
	return consume(file)
}
