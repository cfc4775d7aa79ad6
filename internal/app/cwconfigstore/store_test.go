package cwconfigstore_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"currantward/internal/adapter/cwcodec"
	"currantward/internal/adapter/cwmemory"
	"currantward/internal/app/cwconfigstore"
	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwlog"
	"currantward/internal/base/cwtimer"
	"currantward/internal/core/cwconfigchange"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwpolicy"
	"currantward/internal/port/cwport"
)

// newStore returns a Store on the table whose commits notify nobody.
func newStore(t *testing.T, table cwport.Table) *cwconfigstore.Store {
	t.Helper()
	timer, stop := cwtimer.New()
	t.Cleanup(stop)
	return cwconfigstore.New(cwconfigstore.Options{
		Timer: timer, Log: cwlog.Discard(), Table: table, Timeout: 5 * time.Second, RetryPause: time.Millisecond,
		OnCommitted: func(cwpolicy.Configuration) {},
	})
}

// profile returns a valid profile with the given name and weight.
func profile(name string, weight float64) cwpolicy.Profile {
	return cwpolicy.Profile{
		Name: cwmodel.ProfileName(name), Kind: cwmodel.KindBatch, Class: cwmodel.ClassBatch, Weight: weight, Ceiling: 1, QueueLimit: 1,
		Lease: time.Minute, MaxAttempts: 1, Demand: cwmodel.Resources{Slots: 1},
	}
}

// version returns a pointer to v, as the expected version of a change.
func version(v cwpolicy.Version) *cwpolicy.Version { return &v }

// TestChange guards against an edit that overwrites a concurrent change of the same object, and against a conflict error
// that does not name who changed what. Both arise if another operator commits between the read and the commit of a change.
func TestChange(t *testing.T) {
	whole := cwpolicy.Configuration{Profiles: []cwpolicy.Profile{profile("b", 1)}}
	cases := []struct {
		name    string
		edit    cwconfigchange.Edit
		opts    cwconfigchange.Options
		race    *cwconfigchange.Edit // committed by another operator before the first attempt
		code    cwfault.Code
		message string
		version cwpolicy.Version // after the change
	}{
		{name: "on the expected version", edit: cwconfigchange.PutProfile(profile("a", 2)), opts: cwconfigchange.Options{Expected: version(1)}, version: 2},
		{name: "on another version", edit: cwconfigchange.PutProfile(profile("a", 2)), opts: cwconfigchange.Options{Expected: version(7)},
			code: cwfault.Conflict, message: "the present version is 1, the change was made on 7; since then: no change on record", version: 1},
		{name: "conflict error names who changed what", edit: cwconfigchange.PutProfile(profile("a", 2)), opts: cwconfigchange.Options{Expected: version(0)},
			code: cwfault.Conflict, message: "version 1 by setup at 1970-01-01", version: 1},
		{name: "another profile changed meanwhile", edit: cwconfigchange.PutProfile(profile("a", 2)), race: edit(cwconfigchange.PutProfile(profile("c", 1))), version: 3},
		{name: "the same profile changed meanwhile", edit: cwconfigchange.PutProfile(profile("a", 2)), race: edit(cwconfigchange.PutProfile(profile("a", 9))),
			code: cwfault.Conflict, message: "by racer at", version: 2},
		{name: "the same profile was deleted meanwhile", edit: cwconfigchange.PutProfile(profile("a", 2)), race: edit(cwconfigchange.DeleteProfile("a")),
			code: cwfault.Conflict, message: "delete profile a", version: 2},
		{name: "another profile changed meanwhile, version expected", edit: cwconfigchange.PutProfile(profile("a", 2)), opts: cwconfigchange.Options{Expected: version(1)},
			race: edit(cwconfigchange.PutProfile(profile("c", 1))), code: cwfault.Conflict, message: "put profile c", version: 2},
		{name: "any object changed before a replacement", edit: cwconfigchange.Replace(whole), race: edit(cwconfigchange.PutTeam(cwpolicy.Team{Name: "riders", Weight: 1})),
			code: cwfault.Conflict, message: "put team riders", version: 2},
		{name: "dry run", edit: cwconfigchange.Replace(whole), opts: cwconfigchange.Options{DryRun: true}, version: 1},
		{name: "delete of a missing team", edit: cwconfigchange.DeleteTeam("nobody"), code: cwfault.NotFound, message: `no team "nobody"`, version: 1},
		{name: "error names every invalid field", edit: cwconfigchange.PutProfile(cwpolicy.Profile{Name: "x", Kind: "odd", Class: cwmodel.ClassBatch}),
			code: cwfault.Invalid, message: `profiles[1](x).kind: unknown kind "odd"; profiles[1](x).weight`, version: 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			table := cwmemory.NewTable()
			port := table.Port()
			racer := newStore(t, table.Port())
			_, err := racer.Change(context.Background(), cwconfigchange.PutProfile(profile("a", 1)), cwconfigchange.Options{Actor: "setup"})
			is.NoErr(err)
			var once sync.Once
			commit := port.Commit
			port.Commit = func(ctx context.Context, txn cwport.Txn) error {
				once.Do(func() {
					if c.race != nil {
						_, err := racer.Change(ctx, *c.race, cwconfigchange.Options{Actor: "racer"})
						is.NoErr(err)
					}
				})
				return commit(ctx, txn)
			}
			store := newStore(t, port)
			accepted, err := store.Change(context.Background(), c.edit, c.opts)
			is.Equal(cwfault.CodeOf(err), c.code)
			if err != nil {
				message := strings.ReplaceAll(cwfault.MessageOf(err), time.Now().UTC().Format(time.DateOnly), "1970-01-01")
				is.True(strings.Contains(message, c.message)) // the message names the cause
			} else if !c.opts.DryRun {
				is.Equal(accepted.Version, c.version)
			}
			current, err := store.Configuration(context.Background())
			is.NoErr(err)
			is.Equal(current.Version, c.version)
		})
	}
}

// edit returns a pointer to e, as the race of a case.
func edit(e cwconfigchange.Edit) *cwconfigchange.Edit { return &e }

// TestRepeatedChangeIsAcceptedOnce guards against a retry that is applied as a second change although it has the ID of an accepted one.
func TestRepeatedChangeIsAcceptedOnce(t *testing.T) {
	is := is.New(t)
	store := newStore(t, cwmemory.NewTable().Port())
	opts := cwconfigchange.Options{Change: "change-1"}
	first, err := store.Change(context.Background(), cwconfigchange.PutProfile(profile("a", 1)), opts)
	is.NoErr(err)
	_, err = store.Change(context.Background(), cwconfigchange.PutProfile(profile("b", 1)), cwconfigchange.Options{})
	is.NoErr(err)
	retried, err := store.Change(context.Background(), cwconfigchange.PutProfile(profile("a", 1)), opts)
	is.NoErr(err)
	is.Equal(retried.Version, first.Version)
}

// TestHistoryLimit guards against a history that grows without bound, and against a comparison with a version that is not kept.
func TestHistoryLimit(t *testing.T) {
	is := is.New(t)
	table := cwmemory.NewTable()
	store := newStore(t, table.Port())
	const changes = cwconfigstore.HistoryLimit + 3
	for n := range changes {
		_, err := store.Change(context.Background(), cwconfigchange.PutProfile(profile("a", float64(n%1000+1))), cwconfigchange.Options{Actor: "amal"})
		is.NoErr(err)
	}
	records, err := store.History(context.Background())
	is.NoErr(err)
	is.Equal(len(records), cwconfigstore.HistoryLimit)
	is.Equal(records[0].Version, cwpolicy.Version(4))
	is.Equal(len(table.Scan("config/history/", "", changes)), cwconfigstore.HistoryLimit)
	_, _, err = store.Versions(context.Background(), 3, 4)
	is.Equal(cwfault.CodeOf(err), cwfault.NotFound)
	before, after, err := store.Versions(context.Background(), 4, 5)
	is.NoErr(err)
	diff := cwcodec.Diff(before, after)
	is.Equal(len(diff.Differences), 1)
	is.Equal(diff.Differences[0].Fields, []cwcodec.FieldChange{{Key: "weight", Before: []byte("4"), After: []byte("5")}})
}

// TestConcurrentChangesAreKept guards against accepted changes that a concurrent change overwrites.
// Eight operators change a profile of their own each, while every fifth response is lost.
func TestConcurrentChangesAreKept(t *testing.T) {
	is := is.New(t)
	const operators, changes = 8, 10
	port := cwmemory.NewTable().Port()
	commit := port.Commit
	var mu sync.Mutex
	commits := 0
	port.Commit = func(ctx context.Context, txn cwport.Txn) error {
		err := commit(ctx, txn)
		mu.Lock()
		defer mu.Unlock()
		if commits++; err == nil && commits%5 == 0 {
			return cwfault.New(cwfault.Indefinite, "answer lost")
		}
		return err
	}
	var wg sync.WaitGroup
	accepted := make([]int, operators)
	for n := range operators {
		store := newStore(t, port)
		wg.Go(func() {
			for m := range changes {
				_, err := store.Change(context.Background(), cwconfigchange.PutProfile(profile(fmt.Sprintf("p%d", n), float64(m+1))), cwconfigchange.Options{})
				if err == nil {
					accepted[n] = m + 1
				}
			}
		})
	}
	wg.Wait()
	current, err := newStore(t, port).Configuration(context.Background())
	is.NoErr(err)
	total := 0
	for n, last := range accepted {
		p, ok := current.Profile(cwmodel.ProfileName(fmt.Sprintf("p%d", n)))
		is.True(ok || last == 0)
		is.Equal(p.Weight, float64(last)) // the last accepted change of each operator is effective
		total += last
	}
	t.Logf("version %d after %d changes", current.Version, operators*changes)
	is.True(total > 0)
}
