package cwcellpeer

import (
	"context"
	"net/netip"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/types/known/durationpb"

	"currantward/internal/adapter/cwcellwire"
	"currantward/internal/core/cwwork"
	"currantward/internal/port/cwcellport"
)

// configurationDifference fetches how the configuration in force at a peer differs from a version. The response may be large, so only its
// pauses are bounded.
func (c *client) configurationDifference(addr netip.AddrPort, version uint64) (d *cwcellport.ConfigurationDifference, err error) {
	defer func() { err = eris.Wrap(err, "fetch difference of configurations") }()
	peer := cwcellwire.NewCellProtobufClient("http://"+addr.String(), c.bulk)
	reply, err := peer.Configuration(context.Background(), &cwcellwire.ConfigurationRequest{Version: version})
	if err != nil {
		return nil, fromTwirpError(err)
	}
	d = &cwcellport.ConfigurationDifference{
		Base: reply.GetBase(), Version: reply.GetVersion(), StoreVersion: reply.GetStoreVersion(),
		MaxBodyBytes: int(reply.GetMaxBodyBytes()), Checksum: reply.GetChecksum(),
	}
	for _, q := range reply.GetPut() {
		d.Put = append(d.Put, queueFromWire(q))
	}
	for _, name := range reply.GetRemoved() {
		d.Removed = append(d.Removed, cwwork.QueueName(name))
	}
	return d, nil
}

// Configuration answers a peer's request for the difference between its configuration and that of this host.
func (s *server) Configuration(_ context.Context, r *cwcellwire.ConfigurationRequest) (*cwcellwire.ConfigurationReply, error) {
	d, err := s.opts.ConfigurationDifference(r.GetVersion())
	if err != nil {
		return nil, toTwirpError(err)
	}
	reply := &cwcellwire.ConfigurationReply{
		Base: d.Base, Version: d.Version, StoreVersion: d.StoreVersion, MaxBodyBytes: int64(d.MaxBodyBytes), Checksum: d.Checksum,
	}
	for n := range d.Put {
		reply.Put = append(reply.Put, queueToWire(&d.Put[n]))
	}
	for _, name := range d.Removed {
		reply.Removed = append(reply.Removed, string(name))
	}
	return reply, nil
}

func queueToWire(q *cwcellport.Queue) *cwcellwire.QueueDefinition {
	p := &q.Policy
	wire := &cwcellwire.QueueDefinition{
		Host: q.Host, Prefix: q.Prefix, Service: p.Service, Priority: int32(p.Priority), MaxAttempts: int32(p.MaxAttempts), Stretch: p.Stretch,
		TargetLatency: durationpb.New(p.TargetLatency),
	}
	if p.Advice != (cwwork.Advice{}) {
		wire.Advice = &cwcellwire.AdviceCost{
			Base: durationpb.New(p.Advice.Base), PerWorker: durationpb.New(p.Advice.PerWorker), Validity: durationpb.New(p.Advice.Validity),
		}
	}
	return wire
}

func queueFromWire(wire *cwcellwire.QueueDefinition) cwcellport.Queue {
	return cwcellport.Queue{
		Host: wire.GetHost(), Prefix: wire.GetPrefix(),
		Policy: cwwork.QueuePolicy{
			Service: wire.GetService(), Priority: int(wire.GetPriority()), MaxAttempts: int(wire.GetMaxAttempts()), Stretch: wire.GetStretch(),
			TargetLatency: wire.GetTargetLatency().AsDuration(),
			Advice: cwwork.Advice{
				Base: wire.GetAdvice().GetBase().AsDuration(), PerWorker: wire.GetAdvice().GetPerWorker().AsDuration(),
				Validity: wire.GetAdvice().GetValidity().AsDuration(),
			},
		},
	}
}
