package cwcommand

import (
	"io"
	"os"

	"currantward/internal/app/cwexplain"
	"currantward/internal/base/cwfault"
	"currantward/internal/core/cwmodel"
)

type explainArgs struct {
	Job  string   `arg:"positional,required" help:"identifier of a job"`
	Logs []string `arg:"positional" help:"logs of the entry hosts; by default the standard input"`
}

// explain prints the life of one job from logs.
func (r *runtime) explain(a *explainArgs) (err error) {
	var lines []cwexplain.Line
	collect := func(in io.Reader) error {
		found, err := cwexplain.Collect(in, cwmodel.JobID(a.Job))
		lines = append(lines, found...)
		return err
	}
	if len(a.Logs) == 0 {
		err = collect(os.Stdin)
	}
	for _, path := range a.Logs {
		if err = collectFile(path, collect); err != nil {
			break
		}
	}
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return cwfault.New(cwfault.NotFound, "no line of these logs names job %s", a.Job)
	}
	return cwexplain.Write(r.out, lines)
}

func collectFile(path string, collect func(io.Reader) error) (err error) {
	file, err := os.Open(path)
	if err != nil {
		return cwfault.New(cwfault.Invalid, "%v", err)
	}
	defer func() { _ = file.Close() }() // it was only read
	return collect(file)
}
