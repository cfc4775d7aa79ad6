package cwcodec

import (
	"bytes"
	"encoding/csv"
	"slices"
	"strconv"
	"strings"
	"time"
)

// totalsHeader is the header of the CSV report.
var totalsHeader = []string{
	"day", "profile", "team", "asked", "done", "failed", "not-run", "cancelled", "unknown",
	"wait-p50-seconds", "wait-p95-seconds", "wait-p99-seconds", "run-p50-seconds", "run-p95-seconds", "run-p99-seconds",
	"processor-hours", "memory-gib-hours", "accelerator-hours", "scheduling-seconds", "incomplete-hosts",
}

// CSV returns the report as RFC 4180 CSV with a header. Each line repeats the hosts whose latest responses may be missing.
func (t Totals) CSV() []byte {
	var buf bytes.Buffer
	w := csv.NewWriter(&buf)
	w.UseCRLF = true
	_ = w.Write(totalsHeader) // writes to a buffer do not fail
	incomplete := t.incompleteHosts()
	for _, l := range t.Lines {
		_ = w.Write(append(l.cells(), incomplete))
	}
	w.Flush()
	return buf.Bytes()
}

// incompleteHosts returns the names of the incomplete hosts without duplicates, sorted and separated by blanks.
func (t Totals) incompleteHosts() string {
	var hosts []string
	for _, i := range t.Incomplete {
		hosts = append(hosts, i.Host)
	}
	slices.Sort(hosts)
	return escapeCell(strings.Join(slices.Compact(hosts), " "))
}

func (l TotalsLine) cells() []string {
	cells := []string{escapeCell(l.Day), escapeCell(l.Profile), escapeCell(l.Team)}
	for _, n := range []int64{l.Requests, l.Done, l.Failed, l.NotRun, l.Cancelled, l.Unknown} {
		cells = append(cells, strconv.FormatInt(n, 10))
	}
	for _, d := range []Duration{l.WaitP50, l.WaitP95, l.WaitP99, l.RunP50, l.RunP95, l.RunP99} {
		cells = append(cells, formatFloat(time.Duration(d).Seconds()))
	}
	return append(cells, formatFloat(l.ProcessorHours), formatFloat(l.MemoryGiBHours), formatFloat(l.AcceleratorHours), formatFloat(time.Duration(l.Overhead).Seconds()))
}

func formatFloat(v float64) string { return strconv.FormatFloat(v, 'f', 6, 64) }

// escapeCell prefixes an apostrophe to text that a spreadsheet would evaluate as a formula.
func escapeCell(text string) string {
	if text != "" && strings.ContainsRune("=+-@\t\r", rune(text[0])) {
		return "'" + text
	}
	return text
}
