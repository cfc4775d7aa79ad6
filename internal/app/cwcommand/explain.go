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

// explain prints the life of one job from logs.
func (r *runtime) explain(a *explainArgs) (err error) {
	open, err := openLogs(a.Logs)
	if err != nil {
		return err
	}
	lines, err := collect(open, a.ID)
	if err != nil {
		return err
	}
	if jobs := cwexplain.JobsOfRequest(lines, a.ID); len(jobs) > 0 {
		// Only the lines of the answers name the request.
		lines = nil
		for _, job := range jobs {
			found, err := collect(open, string(job))
			if err != nil {
				return err
			}
			lines = append(lines, found...)
		}
	}
	if len(lines) == 0 {
		return cwfault.New(cwfault.NotFound, "no line of these logs names %s", a.ID)
	}
	return cwexplain.Write(r.out, lines)
}

// log is one log that can be read again.
type log func(read func(io.Reader) error) error

// openLogs returns the logs of the given paths, or the standard input.
func openLogs(paths []string) (logs []log, err error) {
	if len(paths) == 0 {
		data, err := io.ReadAll(os.Stdin)
		if err != nil {
			return nil, cwfault.New(cwfault.Invalid, "read the standard input: %v", err)
		}
		return []log{func(read func(io.Reader) error) error { return read(bytes.NewReader(data)) }}, nil
	}
	for _, path := range paths {
		logs = append(logs, func(read func(io.Reader) error) error { return scanFile(path, read) })
	}
	return logs, nil
}

// collect returns the lines of all logs that name a job or request.
func collect(logs []log, id string) (lines []cwexplain.Line, err error) {
	for _, open := range logs {
		err = open(func(in io.Reader) error {
			found, err := cwexplain.Collect(in, id)
			lines = append(lines, found...)
			return err
		})
		if err != nil {
			return nil, err
		}
	}
	return lines, nil
}

func scanFile(path string, read func(io.Reader) error) (err error) {
	file, err := os.Open(path)
	if err != nil {
		return cwfault.New(cwfault.Invalid, "%v", err)
	}
	defer func() { _ = file.Close() }() // it was only read
	return read(file)
}
