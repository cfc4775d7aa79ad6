package cwexplain

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestJobHistory checks that the lines of several hosts are merged in order of time. Lines about other jobs and text that is
// not a log line are skipped.
func TestJobHistory(t *testing.T) {
	is := is.New(t)
	owner := `time="2026-07-09T17:06:27.509Z" level=info msg=job-admitted host=b job=b19a queue=h/q/
time="2026-07-09T17:06:28.381Z" level=info msg=run-ordered host=b run=1 task=b19a.0.0.0 worker=i-1 detail="5600m/1 left"
time="2026-07-09T17:06:28.382Z" level=info msg=run-ordered host=b run=1 task=b19af.0.0.0 worker=i-1
not a line of ours b19a
time="yesterday" msg=job-ended job=b19a
   3.5 host-a time="2026-07-09T17:06:29.000Z" level=info msg=job-ended host=b job=b19a state=completed`
	entry := `time="2026-07-09T17:06:27.500Z" level=info msg=job-submitted host=a job=b19a verdict=accepted`
	var lines []Line
	for _, log := range []string{owner, entry} {
		found, err := Collect(strings.NewReader(log), "b19a")
		is.NoErr(err)
		lines = append(lines, found...)
	}
	var out bytes.Buffer
	is.NoErr(Write(&out, lines))
	var events []string
	for _, line := range strings.Split(strings.TrimSpace(out.String()), "\n") {
		events = append(events, strings.Fields(line)[3])
	}
	is.Equal(events, []string{"job-submitted", "job-admitted", "run-ordered", "job-ended"})
	is.True(strings.Contains(out.String(), "detail=5600m/1 left"))
	is.True(strings.Contains(out.String(), "+0.881s"))
}

// TestJobOfARequest checks that the identifier of a request leads to its job and to no other.
func TestJobOfARequest(t *testing.T) {
	is := is.New(t)
	log := `time="2026-07-09T17:06:27.500Z" level=info msg=job-submitted host=a job=b19a request=77ee verdict=unknown
time="2026-07-09T17:06:28.500Z" level=info msg=job-submitted host=b job=b19a request=77ee verdict=accepted
time="2026-07-09T17:06:28.600Z" level=info msg=job-submitted host=b job=c20b request=88ff verdict=accepted
time="2026-07-09T17:06:28.700Z" level=info msg=job-ended host=b job=b19a state=completed`
	lines, err := Collect(strings.NewReader(log), "77ee")
	is.NoErr(err)
	is.Equal(len(lines), 2)
	jobs := JobsOfRequest(lines, "77ee")
	is.Equal(len(jobs), 1)
	lines, err = Collect(strings.NewReader(log), string(jobs[0]))
	is.NoErr(err)
	is.Equal(len(lines), 3)
	is.Equal(len(JobsOfRequest(lines, "99aa")), 0)
}
