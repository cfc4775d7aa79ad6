package cwledger

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"currantward/internal/adapter/cwmemory"
	"currantward/internal/base/cwfault"
	"currantward/internal/port/cwport"
)

var testLimits = limits{entries: 64, bytes: 1 << 16, group: 8, base: 10 * time.Millisecond, ceiling: time.Second}

// faultyTable answers as the drawn fault says; a delayed transaction may land at any later time.
type faultyTable struct {
	table   *cwmemory.Table
	delayed []cwport.Txn
}

func (f *faultyTable) commit(fault string, txn cwport.Txn) cwfault.Code {
	switch fault {
	case "down":
		return cwfault.Unavailable
	case "answer-lost":
		_ = f.table.Commit(txn)
		return cwfault.Indefinite
	case "request-lost":
		return cwfault.Indefinite
	case "request-delayed":
		f.delayed = append(f.delayed, txn)
		return cwfault.Indefinite
	}
	return cwfault.CodeOf(f.table.Commit(txn))
}

// TestVerdictsAreTrue covers promise "when a caller is told a request was not run, it truly was not run" at the table.
func TestVerdictsAreTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &faultyTable{table: cwmemory.NewTable()}
		m := newMachine("w-1", rapid.Uint64().Draw(t, "seed"), testLimits)
		now := time.Unix(1000, 0)
		verdicts := map[string][]Verdict{}
		taken := 0
		drive := func(fault string) {
			c, ok := m.next(now)
			if !ok {
				return
			}
			if c.phase == phaseRead {
				if fault == "down" {
					m.readBack(now, cwport.Row{}, cwfault.Unavailable)
					return
				}
				m.readBack(now, f.table.Read(c.key), "")
				return
			}
			m.answered(now, f.commit(fault, c.txn))
		}
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				key := fmt.Sprintf("row/%d", rapid.IntRange(0, 4).Draw(t, "row"))
				value := fmt.Sprintf("entry-%d", taken)
				e := Entry{
					Checks: []cwport.Check{{Key: key, Version: f.table.Read(key).Version}},
					Puts:   []cwport.Put{{Key: key, Value: []byte(value)}, {Key: "mark/" + value, Value: []byte(value)}},
					Done:   func(v Verdict) { verdicts[value] = append(verdicts[value], v) },
				}
				if rapid.Bool().Draw(t, "deadline") {
					e.Deadline = now.Add(50 * time.Millisecond)
				}
				if m.add(e) {
					taken++
				}
			},
			"call": func(t *rapid.T) {
				drive(rapid.SampledFrom([]string{"", "", "down", "answer-lost", "request-lost", "request-delayed"}).Draw(t, "fault"))
			},
			"land": func(t *rapid.T) {
				if len(f.delayed) == 0 {
					t.Skip("nothing is delayed")
				}
				_ = f.table.Commit(f.delayed[0])
				f.delayed = f.delayed[1:]
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				if m.held > testLimits.entries || m.bytes > testLimits.bytes {
					t.Fatalf("holds %d entries, %d bytes", m.held, m.bytes)
				}
			},
		})
		for range 1000 {
			now = now.Add(testLimits.ceiling)
			drive("")
		}
		for _, late := range f.delayed {
			_ = f.table.Commit(late)
		}
		for n := range taken {
			value := fmt.Sprintf("entry-%d", n)
			told := verdicts[value]
			mark := f.table.Read("mark/" + value)
			final := told[len(told)-1]
			if len(told) > 2 || (len(told) == 2 && told[0] != Unknown) {
				t.Fatalf("%s was told %v", value, told)
			}
			if final == Unknown || (final == Committed) != (mark.Version == 1) || mark.Version > 1 {
				t.Fatalf("%s was told %v, its mark has version %d", value, told, mark.Version)
			}
		}
		if m.held != 0 || m.bytes != 0 {
			t.Fatalf("still holds %d entries, %d bytes", m.held, m.bytes)
		}
	})
}

func TestOneConflictDoesNotFailTheGroup(t *testing.T) {
	cases := []struct {
		name    string
		stale   []int
		entries int
	}{
		{"none", nil, 8}, {"first", []int{0}, 8}, {"last", []int{7}, 8}, {"two", []int{2, 5}, 8}, {"single", []int{0}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			table := cwmemory.NewTable()
			m := newMachine("w-1", 1, testLimits)
			got := make([]Verdict, c.entries)
			want := make([]Verdict, c.entries)
			for n := range c.entries {
				want[n] = Committed
				key := fmt.Sprintf("row/%d", n)
				m.add(Entry{Checks: []cwport.Check{{Key: key}}, Puts: []cwport.Put{{Key: key}}, Done: func(v Verdict) { got[n] = v }})
			}
			for _, n := range c.stale {
				want[n] = Conflict
				is.NoErr(table.Commit(cwport.Txn{Puts: []cwport.Put{{Key: fmt.Sprintf("row/%d", n)}}}))
			}
			port := table.Port()
			for {
				call, ok := m.next(time.Unix(1, 0))
				if !ok {
					break
				}
				m.answered(time.Unix(1, 0), cwfault.CodeOf(port.Commit(context.Background(), call.txn)))
			}
			is.Equal(got, want)
		})
	}
}

func TestBackoffIsSpreadAndCapped(t *testing.T) {
	is := is.New(t)
	distinct := map[time.Duration]bool{}
	for seed := range uint64(50) {
		m := newMachine("w-1", seed, testLimits)
		now := time.Unix(1, 0)
		for range 20 {
			m.backOff(now)
			is.True(m.delay >= testLimits.base && m.delay <= testLimits.ceiling)
		}
		m.delay = testLimits.ceiling / 3
		m.backOff(now)
		distinct[m.delay] = true
	}
	is.True(len(distinct) > 40) // hosts return at different times
}
