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

// TestMembersOfALargeCell holds that the rows which name the workers of a large cell stay within what the store takes, and
// that a later owner reads each worker from them.
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
		s := &session{owner: owner, cell: cwcell.New(cwcell.Options{}), links: map[cwmodel.HostID]*link{}, parts: map[string]*part{}}
		for n := range workers {
			id := cwmodel.HostID(fmt.Sprintf("i-%d%08x", cell, n))
			s.cell.RestoreMember(id, timer.Now())
			s.links[id] = &link{entry: cwcellport.WorkerEntry{
				WorkerInfo: cwcell.WorkerInfo{Rack: fmt.Sprintf("r1-%d", n/12)}, Address: netip.MustParseAddrPort("10.200.100.200:18765"),
			}}
		}
		f := s.membersFlight(timer.Now())
		is.Equal(len(f.enrols), workers)
		for _, row := range f.tx.Put {
			is.True(len(row.Value) <= rowBytes)
		}
		_, _, err := store.Commit(f.tx, time.Second)
		is.NoErr(err)
		img, err := s.readWorkers()
		is.NoErr(err)
		named := map[cwmodel.HostID]bool{}
		for _, row := range img.members {
			members, err := cwcellcodec.DecodeMembers(row.Value)
			is.NoErr(err)
			for _, m := range members {
				named[m.ID] = true
			}
		}
		is.Equal(len(named), workers)
	}
}

// TestFormerMembersOfOtherCells holds that an owner calls no worker of another cell, though the rows of one cell that was
// divided name all of them.
func TestFormerMembersOfOtherCells(t *testing.T) {
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
		}}, tenure: cwlease.Grant{Layout: layout},
		cell: cwcell.New(cwcell.Options{}), links: map[cwmodel.HostID]*link{},
	}
	s.addFormerMembers([]cwcellport.Row{{Value: value}}, timer.Now())
	is.Equal(len(s.links), own)
	is.Equal(len(s.cell.Members()), own)
	for id := range s.links {
		s.dropLink(id)
	}
}
