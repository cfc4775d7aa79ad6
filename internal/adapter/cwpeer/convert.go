package cwpeer

import (
	"net/netip"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"currantward/internal/adapter/cwpeerwire"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwpolicy"
	"currantward/internal/port/cwport"
)

func resourcesToWire(r cwmodel.Resources) *cwpeerwire.Resources {
	return &cwpeerwire.Resources{
		MilliProcessors: r.MilliProcessors, MemoryBytes: r.MemoryBytes, Accelerators: r.Accelerators,
		Slots: r.Slots, Connections: r.Connections,
	}
}

func resourcesFromWire(r *cwpeerwire.Resources) cwmodel.Resources {
	return cwmodel.Resources{
		MilliProcessors: r.GetMilliProcessors(), MemoryBytes: r.GetMemoryBytes(), Accelerators: r.GetAccelerators(),
		Slots: r.GetSlots(), Connections: r.GetConnections(),
	}
}

func teamsToWire(uses []cwmodel.TeamUsage) (teams []*cwpeerwire.TeamUse) {
	for _, use := range uses {
		teams = append(teams, &cwpeerwire.TeamUse{Team: string(use.Team), Used: resourcesToWire(use.Used)})
	}
	return teams
}

func teamsFromWire(teams []*cwpeerwire.TeamUse) (uses []cwmodel.TeamUsage) {
	for _, team := range teams {
		uses = append(uses, cwmodel.TeamUsage{Team: cwmodel.TeamName(team.GetTeam()), Used: resourcesFromWire(team.GetUsed())})
	}
	return uses
}

func digestToWire(d cwport.LoadReport) *cwpeerwire.Digest {
	return &cwpeerwire.Digest{
		Host: string(d.Host), DataCentre: string(d.DataCentre), Address: d.Address.String(), Configuration: uint64(d.Configuration),
		Workers: int64(d.Workers), Free: resourcesToWire(d.Free), LargestFree: resourcesToWire(d.LargestFree),
		Waiting: int64(d.Waiting), Leaving: d.Leaving, Teams: teamsToWire(d.Teams),
	}
}

func digestFromWire(d *cwpeerwire.Digest) (cwport.LoadReport, error) {
	addr, err := netip.ParseAddrPort(d.GetAddress())
	return cwport.LoadReport{
		Host: cwmodel.HostID(d.GetHost()), DataCentre: cwmodel.DataCentre(d.GetDataCentre()), Address: addr,
		Configuration: cwpolicy.Version(d.GetConfiguration()), Workers: int(d.GetWorkers()), Free: resourcesFromWire(d.GetFree()),
		LargestFree: resourcesFromWire(d.GetLargestFree()), Waiting: int(d.GetWaiting()), Leaving: d.GetLeaving(), Teams: teamsFromWire(d.GetTeams()),
	}, err
}

func forwardToWire(t cwmodel.Task, hops int, now time.Time) *cwpeerwire.ForwardRequest {
	return &cwpeerwire.ForwardRequest{
		Task: string(t.ID), Profile: string(t.Profile), Team: string(t.Team), Demand: resourcesToWire(t.Demand),
		Arrived: timestamppb.New(t.ArrivedAt), TimeLeft: durationpb.New(t.Deadline.Sub(now)), Payload: t.Payload, Hops: int32(hops),
	}
}

func answerToWire(a cwmodel.Response) *cwpeerwire.ForwardAnswer {
	return &cwpeerwire.ForwardAnswer{
		Outcome: string(a.Outcome), Reason: string(a.Reason), Message: a.Message, Attempts: int32(a.Attempts),
		Worker: string(a.Worker), Payload: a.Payload, Waited: durationpb.New(a.WaitTime), Ran: durationpb.New(a.RunTime),
	}
}

func answerFromWire(id cwmodel.TaskID, a *cwpeerwire.ForwardAnswer) (cwmodel.Response, error) {
	outcome, err := cwmodel.ParseOutcome(a.GetOutcome())
	return cwmodel.Response{
		Task: id, Outcome: outcome, Reason: cwmodel.Reason(a.GetReason()), Message: a.GetMessage(), Attempts: int(a.GetAttempts()),
		Worker: cwmodel.HostID(a.GetWorker()), Payload: a.GetPayload(), WaitTime: a.GetWaited().AsDuration(), RunTime: a.GetRan().AsDuration(),
	}, err
}
