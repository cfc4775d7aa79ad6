package cwtablewriter

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

// fuzz drives a machine over a faulty table and keeps what each writer was told.
type fuzz struct {
	faultyTable
	machine  *machine
	now      time.Time
	verdicts map[string][]WriteResult
	taken    int
}

// TestVerdictsAreTrue covers promise "when a caller is told a request was not run, it truly was not run" at the table.
func TestVerdictsAreTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fuzz{
			faultyTable: faultyTable{table: cwmemory.NewTable()}, now: time.Unix(1000, 0), verdicts: map[string][]WriteResult{},
			machine: newMachine("w-1", rapid.Uint64().Draw(t, "seed"), testLimits),
		}
		t.Repeat(map[string]func(*rapid.T){"write": f.write, "call": f.call, "land": f.land, "wait": f.wait, "": f.checkBounds})
		f.heal()
		for n := range f.taken {
			f.checkVerdict(t, valueOf(n))
		}
		if f.machine.held != 0 || f.machine.bytes != 0 {
			t.Fatalf("still holds %d entries, %d bytes", f.machine.held, f.machine.bytes)
		}
	})
}

func valueOf(n int) string { return fmt.Sprintf("entry-%d", n) }

func (f *fuzz) write(t *rapid.T) {
	key := fmt.Sprintf("row/%d", rapid.IntRange(0, 4).Draw(t, "row"))
	value := valueOf(f.taken)
	e := Write{
		Checks: []cwport.Precondition{{Key: key, Version: f.table.Read(key).Version}},
		Puts:   []cwport.Put{{Key: key, Value: []byte(value)}, {Key: "mark/" + value, Value: []byte(value)}},
		Done:   func(v WriteResult) { f.verdicts[value] = append(f.verdicts[value], v) },
	}
	if rapid.Bool().Draw(t, "deadline") {
		e.Deadline = f.now.Add(50 * time.Millisecond)
	}
	if f.machine.add(e) {
		f.taken++
	}
}

func (f *fuzz) call(t *rapid.T) {
	f.drive(rapid.SampledFrom([]string{"", "", "down", "answer-lost", "request-lost", "request-delayed"}).Draw(t, "fault"))
}

// drive carries out the next call of the machine under one fault.
func (f *fuzz) drive(fault string) {
	c, ok := f.machine.next(f.now)
	switch {
	case !ok:
	case c.phase == phaseRead && fault == "down":
		f.machine.readBack(f.now, cwport.Row{}, cwfault.Unavailable)
	case c.phase == phaseRead:
		f.machine.readBack(f.now, f.table.Read(c.key), "")
	default:
		f.machine.answered(f.now, f.commit(fault, c.txn))
	}
}

// land lets a delayed transaction reach the table.
func (f *fuzz) land(*rapid.T) {
	if len(f.delayed) > 0 {
		_ = f.table.Commit(f.delayed[0])
		f.delayed = f.delayed[1:]
	}
}

func (f *fuzz) wait(t *rapid.T) {
	f.now = f.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
}

func (f *fuzz) checkBounds(t *rapid.T) {
	if f.machine.held > testLimits.entries || f.machine.bytes > testLimits.bytes {
		t.Fatalf("holds %d entries, %d bytes", f.machine.held, f.machine.bytes)
	}
}

func (f *fuzz) heal() {
	for range 1000 {
		f.now = f.now.Add(testLimits.ceiling)
		f.drive("")
	}
	for len(f.delayed) > 0 {
		f.land(nil)
	}
}

func (f *fuzz) checkVerdict(t *rapid.T, value string) {
	told := f.verdicts[value]
	mark := f.table.Read("mark/" + value)
	final := told[len(told)-1]
	if len(told) > 2 || (len(told) == 2 && told[0] != Unknown) {
		t.Fatalf("%s was told %v", value, told)
	}
	if final == Unknown || (final == Committed) != (mark.Version == 1) || mark.Version > 1 {
		t.Fatalf("%s was told %v, its mark has version %d", value, told, mark.Version)
	}
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
			got := make([]WriteResult, c.entries)
			want := make([]WriteResult, c.entries)
			for n := range c.entries {
				want[n] = Committed
				key := fmt.Sprintf("row/%d", n)
				m.add(Write{Checks: []cwport.Precondition{{Key: key}}, Puts: []cwport.Put{{Key: key}}, Done: func(v WriteResult) { got[n] = v }})
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
