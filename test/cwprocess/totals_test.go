package cwprocess_test

import (
	"bytes"
	"context"
	"encoding/csv"
	"fmt"
	"os/exec"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"currantward/internal/core/cwaccounting"
	"currantward/internal/proof/cwprocess"
)

// flushPeriod is how much of its latest counts a killed host may lose, with a margin for the write itself.
const flushPeriod = 3 * time.Second

// sums counts answers by profile and outcome.
type sums map[string]int

// totalsOf reads the totals of some days by the command line.
func totalsOf(ctx context.Context, host *cwprocess.EntryHost, days []string) (sums, error) {
	total := sums{}
	for _, day := range days {
		out, err := exec.CommandContext(ctx, programs.Currantward, "totals", "--day", day, "--format", "csv", "--operators", host.Operators.String()).Output()
		if err != nil {
			return nil, err
		}
		rows := csv.NewReader(bytes.NewReader(out))
		rows.Comment = '#'
		rows.FieldsPerRecord = -1
		lines, err := rows.ReadAll()
		if err != nil {
			return nil, err
		}
		addLines(total, lines)
	}
	return total, nil
}

// addLines adds the rows that follow the header to the totals.
func addLines(total sums, lines [][]string) {
	header := lines[0]
	for _, line := range lines[1:] {
		profile := ""
		for n, field := range line {
			switch header[n] {
			case "profile":
				profile = field
			case "done", "failed", "not-run", "cancelled", "unknown":
				count, _ := strconv.Atoi(field)
				total[profile+" "+header[n]] += count
			}
		}
	}
}

// bounds returns the least and the most that totals may say after some hosts were killed.
func bounds(hosts []*cwprocess.EntryHost, exchanges []cwprocess.Exchange) (least, most sums, unanswered int) {
	killed := map[string]time.Time{}
	for _, h := range hosts {
		if !h.KilledAt.IsZero() {
			killed[string(h.ID)] = h.KilledAt
		}
	}
	least, most = sums{}, sums{}
	for _, e := range exchanges {
		if e.Err != nil {
			unanswered++
			continue
		}
		key := e.Profile + " " + e.Response.Outcome
		most[key]++
		at, ok := killed[string(e.Host)]
		if !ok || e.RespondedAt.Before(at.Add(-flushPeriod)) {
			least[key]++
		}
	}
	return least, most, unanswered
}

// compare returns what lies outside the bounds; what killed hosts counted but could not answer may be there too.
func compare(total, least, most sums, unanswered int) string {
	for key := range most {
		if total[key] < least[key] || total[key] > most[key]+unanswered {
			return fmt.Sprintf("%s: %d is not from %d to %d (+%d)", key, total[key], least[key], most[key], unanswered)
		}
	}
	for key := range total {
		if _, ok := most[key]; !ok && total[key] > unanswered {
			return fmt.Sprintf("%s: %d but none was asked", key, total[key])
		}
	}
	return ""
}

func TestTotalsAfterTwoHostsAreKilled(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	b := newBench(ctx, t, 2)
	first := cwaccounting.DayOf(b.timer.Now(), time.UTC)
	b.load = cwprocess.StartLoad(b.Cluster, callers, seed)
	for _, host := range []*cwprocess.EntryHost{b.Hosts[0], b.Hosts[2]} {
		is.NoErr(b.load.AwaitDone(ctx, batch))
		is.True(b.timer.Sleep(ctx.Done(), flushPeriod)) // something is flushed before each kill
		b.Kill(host.Process)
	}
	is.NoErr(b.AwaitWorkersOwned(ctx))
	is.NoErr(b.load.AwaitDone(ctx, batch))
	exchanges := b.load.Stop()
	is.NoErr(cwprocess.Check(b.Cluster, exchanges, nil).Err())
	days := []string{first}
	if last := cwaccounting.DayOf(b.timer.Now(), time.UTC); last != first {
		days = append(days, last)
	}
	least, most, unanswered := bounds(b.Hosts, exchanges)
	err := b.AwaitCondition(ctx, func(ctx context.Context) string {
		total, err := totalsOf(ctx, b.Hosts[1], days)
		if err != nil {
			return err.Error()
		}
		return compare(total, least, most, unanswered)
	})
	t.Logf("least %v, most %v, %d unanswered", least, most, unanswered)
	is.NoErr(err)
}
