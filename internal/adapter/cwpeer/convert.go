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

func teamsToWire(usage []cwmodel.TeamUsage) (teams []*cwpeerwire.TeamUse) {
	for _, u := range usage {
		teams = append(teams, &cwpeerwire.TeamUse{Team: string(u.Team), Used: resourcesToWire(u.Used)})
	}
	return teams
}

func teamsFromWire(teams []*cwpeerwire.TeamUse) (usage []cwmodel.TeamUsage) {
	for _, team := range teams {
		usage = append(usage, cwmodel.TeamUsage{Team: cwmodel.TeamName(team.GetTeam()), Used: resourcesFromWire(team.GetUsed())})
	}
	return usage
}

func loadReportToWire(r cwport.LoadReport) *cwpeerwire.Digest {
	return &cwpeerwire.Digest{
		Host: string(r.Host), DataCentre: string(r.DataCentre), Address: r.Address.String(), Configuration: uint64(r.ConfigurationVersion),
		Workers: int64(r.Workers), Free: resourcesToWire(r.Free), LargestFree: resourcesToWire(r.LargestFree),
		Waiting: int64(r.Waiting), Leaving: r.Draining, Teams: teamsToWire(r.Teams),
	}
}

// loadReportFromWire converts a load report. A malformed address is an error.
func loadReportFromWire(r *cwpeerwire.Digest) (cwport.LoadReport, error) {
	addr, err := netip.ParseAddrPort(r.GetAddress())
	return cwport.LoadReport{
		Host: cwmodel.HostID(r.GetHost()), DataCentre: cwmodel.DataCentre(r.GetDataCentre()), Address: addr,
		ConfigurationVersion: cwpolicy.Version(r.GetConfiguration()), Workers: int(r.GetWorkers()), Free: resourcesFromWire(r.GetFree()),
		LargestFree: resourcesFromWire(r.GetLargestFree()), Waiting: int(r.GetWaiting()), Draining: r.GetLeaving(), Teams: teamsFromWire(r.GetTeams()),
	}, err
}

// forwardToWire converts a request. It sends the time left until the deadline, since the hosts' clocks may differ.
func forwardToWire(t cwmodel.Task, hops int, now time.Time) *cwpeerwire.ForwardRequest {
	return &cwpeerwire.ForwardRequest{
		Task: string(t.ID), Profile: string(t.Profile), Team: string(t.Team), Demand: resourcesToWire(t.Demand),
		Arrived: timestamppb.New(t.ArrivedAt), TimeLeft: durationpb.New(t.Deadline.Sub(now)), Payload: t.Payload, Hops: int32(hops),
	}
}

func responseToWire(r cwmodel.Response) *cwpeerwire.ForwardAnswer {
	return &cwpeerwire.ForwardAnswer{
		Outcome: string(r.Outcome), Reason: string(r.Reason), Message: r.Message, Attempts: int32(r.Attempts),
		Worker: string(r.Worker), Payload: r.Payload, Waited: durationpb.New(r.WaitTime), Ran: durationpb.New(r.RunTime),
	}
}

// responseFromWire converts a response. An unknown outcome is an error.
func responseFromWire(id cwmodel.TaskID, r *cwpeerwire.ForwardAnswer) (cwmodel.Response, error) {
	outcome, err := cwmodel.ParseOutcome(r.GetOutcome())
	return cwmodel.Response{
		Task: id, Outcome: outcome, Reason: cwmodel.Reason(r.GetReason()), Message: r.GetMessage(), Attempts: int(r.GetAttempts()),
		Worker: cwmodel.HostID(r.GetWorker()), Payload: r.GetPayload(), WaitTime: r.GetWaited().AsDuration(), RunTime: r.GetRan().AsDuration(),
	}, err
}
