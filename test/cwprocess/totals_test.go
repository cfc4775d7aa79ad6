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

// flushMargin is the time before its kill whose counts a host may lose: the flush period and a margin for the write.
const flushMargin = 3 * time.Second

// totals are numbers of responses, by profile and outcome with a space between.
type totals map[string]int

// readTotals reads the totals of several days with the command totals and returns their sum.
func readTotals(ctx context.Context, host *cwprocess.EntryHost, days []string) (totals, error) {
	total := totals{}
	for _, day := range days {
		out, err := exec.CommandContext(ctx, programs.Currantward, "totals", "--day", day, "--format", "csv", "--operators", host.OperatorAddr.String()).Output()
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
		addRows(total, lines)
	}
	return total, nil
}

// addRows adds the rows to total. The first row is the header.
func addRows(total totals, rows [][]string) {
	header := rows[0]
	for _, row := range rows[1:] {
		profile := ""
		for n, field := range row {
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

// totalBounds returns the lowest and highest totals that are correct after some hosts were killed, and the number of requests without
// a response.
func totalBounds(hosts []*cwprocess.EntryHost, exchanges []cwprocess.Exchange) (least, most totals, missingResponses int) {
	killed := map[string]time.Time{}
	for _, h := range hosts {
		if !h.KilledAt.IsZero() {
			killed[string(h.ID)] = h.KilledAt
		}
	}
	least, most = totals{}, totals{}
	for _, e := range exchanges {
		if e.Err != nil {
			missingResponses++
			continue
		}
		key := e.Profile + " " + e.Response.Outcome
		most[key]++
		at, ok := killed[string(e.Host)]
		if !ok || e.RespondedAt.Before(at.Add(-flushMargin)) {
			least[key]++
		}
	}
	return least, most, missingResponses
}

// outsideBounds describes a total outside the bounds, or returns "". A killed host may have counted requests to which it could no
// longer respond, so totals may exceed the bounds by the number of requests without a response.
func outsideBounds(total, least, most totals, missingResponses int) string {
	for key := range most {
		if total[key] < least[key] || total[key] > most[key]+missingResponses {
			return fmt.Sprintf("%s: %d is not from %d to %d (+%d)", key, total[key], least[key], most[key], missingResponses)
		}
	}
	for key := range total {
		if _, ok := most[key]; !ok && total[key] > missingResponses {
			return fmt.Sprintf("%s: %d, but no caller received such a response", key, total[key])
		}
	}
	return ""
}

// TestTotalsAfterTwoHostsAreKilled guards against totals that lose flushed counts or count responses twice. This comes about when
// hosts are killed between two flushes and other hosts report their totals.
func TestTotalsAfterTwoHostsAreKilled(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	cluster := newTestCluster(ctx, t, 2)
	firstDay := cwaccounting.DayOf(cluster.timer.Now(), time.UTC)
	cluster.load = cwprocess.StartLoad(cluster.Cluster, callers, seed)
	for _, host := range []*cwprocess.EntryHost{cluster.Hosts[0], cluster.Hosts[2]} {
		is.NoErr(cluster.load.AwaitDone(ctx, requestsBetweenFaults))
		is.True(cluster.timer.Sleep(ctx.Done(), flushMargin)) // at least one flush before each kill
		cluster.Kill(host.Process)
	}
	is.NoErr(cluster.AwaitReady(ctx))
	is.NoErr(cluster.load.AwaitDone(ctx, requestsBetweenFaults))
	exchanges := cluster.load.Stop()
	is.NoErr(cwprocess.Check(cluster.Cluster, exchanges, nil).Err())
	days := []string{firstDay}
	if lastDay := cwaccounting.DayOf(cluster.timer.Now(), time.UTC); lastDay != firstDay {
		days = append(days, lastDay)
	}
	least, most, missingResponses := totalBounds(cluster.Hosts, exchanges)
	err := cluster.AwaitCondition(ctx, func(ctx context.Context) string {
		total, err := readTotals(ctx, cluster.Hosts[1], days)
		if err != nil {
			return err.Error()
		}
		return outsideBounds(total, least, most, missingResponses)
	})
	t.Logf("least %v, most %v, %d without a response", least, most, missingResponses)
	is.NoErr(err)
}
