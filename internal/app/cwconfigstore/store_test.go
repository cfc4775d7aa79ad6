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

func newOperator(t *testing.T, table cwport.Table) *cwconfigstore.Store {
	t.Helper()
	timer, stop := cwtimer.New()
	t.Cleanup(stop)
	return cwconfigstore.New(cwconfigstore.Options{
		Timer: timer, Log: cwlog.Discard(), Table: table, Timeout: 5 * time.Second, RetryPause: time.Millisecond,
		OnCommitted: func(cwpolicy.Configuration) {},
	})
}

func profile(name string, weight float64) cwpolicy.Profile {
	return cwpolicy.Profile{
		Name: cwmodel.ProfileName(name), Kind: cwmodel.KindBatch, Class: cwmodel.ClassBatch, Weight: weight, Ceiling: 1, QueueLimit: 1,
		Lease: time.Minute, MaxAttempts: 1, Demand: cwmodel.Resources{Slots: 1},
	}
}

func version(v cwpolicy.Version) *cwpolicy.Version { return &v }

func TestChange(t *testing.T) {
	whole := cwpolicy.Configuration{Profiles: []cwpolicy.Profile{profile("b", 1)}}
	cases := []struct {
		name    string
		edit    cwconfigchange.Edit
		terms   cwconfigchange.Options
		race    *cwconfigchange.Edit // committed by another operator before the first try is
		code    cwfault.Code
		message string
		version cwpolicy.Version // after it
	}{
		{name: "on the expected version", edit: cwconfigchange.PutProfile(profile("a", 2)), terms: cwconfigchange.Options{Expected: version(1)}, version: 2},
		{name: "on another version", edit: cwconfigchange.PutProfile(profile("a", 2)), terms: cwconfigchange.Options{Expected: version(7)},
			code: cwfault.Conflict, message: "the present version is 1, the change was made on 7; since then: no change on record", version: 1},
		{name: "names who changed what", edit: cwconfigchange.PutProfile(profile("a", 2)), terms: cwconfigchange.Options{Expected: version(0)},
			code: cwfault.Conflict, message: "version 1 by setup at 1970-01-01", version: 1},
		{name: "another profile changed meanwhile", edit: cwconfigchange.PutProfile(profile("a", 2)), race: edit(cwconfigchange.PutProfile(profile("c", 1))), version: 3},
		{name: "the same profile changed meanwhile", edit: cwconfigchange.PutProfile(profile("a", 2)), race: edit(cwconfigchange.PutProfile(profile("a", 9))),
			code: cwfault.Conflict, message: "by racer at", version: 2},
		{name: "the same profile was deleted meanwhile", edit: cwconfigchange.PutProfile(profile("a", 2)), race: edit(cwconfigchange.DeleteProfile("a")),
			code: cwfault.Conflict, message: "delete profile a", version: 2},
		{name: "another profile changed meanwhile, version expected", edit: cwconfigchange.PutProfile(profile("a", 2)), terms: cwconfigchange.Options{Expected: version(1)},
			race: edit(cwconfigchange.PutProfile(profile("c", 1))), code: cwfault.Conflict, message: "put profile c", version: 2},
		{name: "anything changed under a replacement", edit: cwconfigchange.Replace(whole), race: edit(cwconfigchange.PutTeam(cwpolicy.Team{Name: "riders", Weight: 1})),
			code: cwfault.Conflict, message: "put team riders", version: 2},
		{name: "dry run", edit: cwconfigchange.Replace(whole), terms: cwconfigchange.Options{DryRun: true}, version: 1},
		{name: "delete what is not there", edit: cwconfigchange.DeleteTeam("nobody"), code: cwfault.NotFound, message: `no team "nobody"`, version: 1},
		{name: "names every fault", edit: cwconfigchange.PutProfile(cwpolicy.Profile{Name: "x", Kind: "odd", Class: cwmodel.ClassBatch}),
			code: cwfault.Invalid, message: `profiles[1](x).kind: unknown kind "odd"; profiles[1](x).weight`, version: 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			table := cwmemory.NewTable()
			port := table.Port()
			racer := newOperator(t, table.Port())
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
			operator := newOperator(t, port)
			accepted, err := operator.Change(context.Background(), c.edit, c.terms)
			is.Equal(cwfault.CodeOf(err), c.code)
			if err != nil {
				message := strings.ReplaceAll(cwfault.MessageOf(err), time.Now().UTC().Format(time.DateOnly), "1970-01-01")
				is.True(strings.Contains(message, c.message)) // the message names what is wrong
			} else if !c.terms.DryRun {
				is.Equal(accepted.Version, c.version)
			}
			present, err := operator.Configuration(context.Background())
			is.NoErr(err)
			is.Equal(present.Version, c.version)
		})
	}
}

func edit(e cwconfigchange.Edit) *cwconfigchange.Edit { return &e }

func TestRepeatedChangeIsAcceptedOnce(t *testing.T) {
	is := is.New(t)
	operator := newOperator(t, cwmemory.NewTable().Port())
	terms := cwconfigchange.Options{Change: "change-1"}
	first, err := operator.Change(context.Background(), cwconfigchange.PutProfile(profile("a", 1)), terms)
	is.NoErr(err)
	_, err = operator.Change(context.Background(), cwconfigchange.PutProfile(profile("b", 1)), cwconfigchange.Options{})
	is.NoErr(err)
	again, err := operator.Change(context.Background(), cwconfigchange.PutProfile(profile("a", 1)), terms)
	is.NoErr(err)
	is.Equal(again.Version, first.Version)
}

func TestHistoryIsBoundedAndCompared(t *testing.T) {
	is := is.New(t)
	table := cwmemory.NewTable()
	operator := newOperator(t, table.Port())
	const changes = cwconfigstore.HistoryLimit + 3
	for n := range changes {
		_, err := operator.Change(context.Background(), cwconfigchange.PutProfile(profile("a", float64(n%1000+1))), cwconfigchange.Options{Actor: "amal"})
		is.NoErr(err)
	}
	records, err := operator.History(context.Background())
	is.NoErr(err)
	is.Equal(len(records), cwconfigstore.HistoryLimit)
	is.Equal(records[0].Version, cwpolicy.Version(4))
	is.Equal(len(table.Scan("config/history/", "", changes)), cwconfigstore.HistoryLimit)
	_, _, err = operator.Versions(context.Background(), 3, 4)
	is.Equal(cwfault.CodeOf(err), cwfault.NotFound)
	before, after, err := operator.Versions(context.Background(), 4, 5)
	is.NoErr(err)
	diff := cwcodec.Diff(before, after)
	is.Equal(len(diff.Differences), 1)
	is.Equal(diff.Differences[0].Fields, []cwcodec.FieldChange{{Key: "weight", Before: []byte("4"), After: []byte("5")}})
}

// TestRacingOperatorsLoseNoAcceptedChange lets 8 operators change a profile of their own each, while every fifth answer is lost.
func TestRacingOperatorsLoseNoAcceptedChange(t *testing.T) {
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
	var ended sync.WaitGroup
	accepted := make([]int, operators)
	for n := range operators {
		operator := newOperator(t, port)
		ended.Go(func() {
			for m := range changes {
				_, err := operator.Change(context.Background(), cwconfigchange.PutProfile(profile(fmt.Sprintf("p%d", n), float64(m+1))), cwconfigchange.Options{})
				if err == nil {
					accepted[n] = m + 1
				}
			}
		})
	}
	ended.Wait()
	present, err := newOperator(t, port).Configuration(context.Background())
	is.NoErr(err)
	total := 0
	for n, last := range accepted {
		p, ok := present.Profile(cwmodel.ProfileName(fmt.Sprintf("p%d", n)))
		is.True(ok || last == 0)
		is.Equal(p.Weight, float64(last)) // the last accepted change of each operator is in force
		total += last
	}
	t.Logf("version %d after %d changes", present.Version, operators*changes)
	is.True(total > 0)
}
