package cwcellowner

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"currantward/internal/adapter/cwcellcodec"
	"currantward/internal/adapter/cwcellmemory"
	"currantward/internal/app/cwlease"
	"currantward/internal/base/cwlog"
	"currantward/internal/base/cwtimer"
	"currantward/internal/core/cwcell"
	"currantward/internal/core/cwlayout"
	"currantward/internal/core/cwmodel"
	"currantward/internal/port/cwcellport"
)

// TestMembersOfALargeCell checks that the rows that list the workers of a large cell stay within the row size of the store,
// and that a later owner reads all of these workers.
func TestMembersOfALargeCell(t *testing.T) {
	const workers, rowBytes = 3150, 65536
	is := is.New(t)
	timer := cwtimer.NewManual(time.Unix(1000, 0))
	store := cwcellmemory.NewStore(timer.Service).Port(32)
	for _, cell := range []cwlayout.Cell{0, 1} {
		owner := &Owner{opts: Options{Store: store, Timer: timer.Service, Log: cwlog.Discard(), Registry: cwcellport.Registry{
			List: func(time.Duration) ([]cwcellport.WorkerEntry, uint64, error) { return nil, 0, nil },
		}}}
		owner.opts.Cell = cell
		s := &session{owner: owner, cell: cwcell.New(cwcell.Options{}), links: map[cwmodel.HostID]*workerLink{}, partitions: map[string]*partition{}}
		for n := range workers {
			id := cwmodel.HostID(fmt.Sprintf("i-%d%08x", cell, n))
			s.cell.RestoreMember(id, timer.Now(), timer.Now())
			s.links[id] = &workerLink{entry: cwcellport.WorkerEntry{
				WorkerInfo: cwcell.WorkerInfo{Rack: fmt.Sprintf("r1-%d", n/12)}, Address: netip.MustParseAddrPort("10.200.100.200:18765"),
			}}
		}
		c := s.buildMembersCommit(timer.Now())
		is.Equal(len(c.members), workers)
		for _, row := range c.tx.Put {
			is.True(len(row.Value) <= rowBytes)
		}
		_, _, err := store.Commit(c.tx, time.Second)
		is.NoErr(err)
		snapshot, err := s.readWorkers()
		is.NoErr(err)
		named := map[cwmodel.HostID]bool{}
		for _, row := range snapshot.memberRows {
			members, err := cwcellcodec.DecodeMembers(row.Value)
			is.NoErr(err)
			for _, m := range members {
				named[m.ID] = true
			}
		}
		is.Equal(len(named), workers)
	}
}

// TestPriorMembersOfOtherCells checks that an owner calls no worker of another cell, although the member rows of the former
// single cell list the workers of all cells.
func TestPriorMembersOfOtherCells(t *testing.T) {
	is := is.New(t)
	timer := cwtimer.NewManual(time.Unix(1000, 0))
	racks := []string{"r0", "r1", "r2", "r3"}
	layout := cwlayout.Layout{Cells: 2}
	var members []cwcellcodec.Member
	own := 0
	for n, rack := range racks {
		members = append(members, cwcellcodec.Member{ID: cwmodel.HostID(fmt.Sprint(n)), Rack: rack, Address: netip.MustParseAddrPort("10.0.0.1:1")})
		if layout.CellOfWorker("", rack) == 1 {
			own++
		}
	}
	is.True(own > 0 && own < len(racks))
	value, err := cwcellcodec.EncodeMembers(members)
	is.NoErr(err)
	s := &session{
		owner: &Owner{opts: Options{
			Cell: 1, Timer: timer.Service, Log: cwlog.Discard(), Workers: cwcellport.Workers{Evict: func(cwmodel.HostID) {}},
		}}, grant: cwlease.Grant{Layout: layout},
		cell: cwcell.New(cwcell.Options{}), links: map[cwmodel.HostID]*workerLink{},
	}
	s.addPriorMembers([]cwcellport.Row{{Value: value}}, timer.Now())
	is.Equal(len(s.links), own)
	is.Equal(len(s.cell.Members()), own)
	for id := range s.links {
		s.dropLink(id)
	}
}
