package cwdeployment_test

import (
	"net"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"currantward/internal/app/cwdeployment"
	"currantward/internal/app/cwsettings"
	"currantward/internal/base/cwlog"
	"currantward/internal/base/cwtimer"
)

// TestAddressInUseFailsStart asserts that a listener whose address is in use makes the start of the entry host fail.
func TestAddressInUseFailsStart(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	defer func() { _ = listener.Close() }()
	inUse := netip.MustParseAddrPort(listener.Addr().String())
	cases := []struct {
		name string
		set  func(s *cwsettings.Settings)
	}{
		{"callers", func(s *cwsettings.Settings) { s.ListenCallers = inUse }},
		{"operators", func(s *cwsettings.Settings) { s.ListenOperators = inUse }},
		{"peers", func(s *cwsettings.Settings) { s.ListenPeers = inUse }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			document := cwsettings.Defaults()
			document.HostID, document.DataCentre, document.Platform = "entry-1", "cairo-1", "127.0.0.1:1"
			document.ListenCallers, document.ListenOperators, document.ListenPeers = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
			settings, err := document.Validate()
			is.NoErr(err)
			c.set(&settings)
			timer, stopTimer := cwtimer.New()
			defer stopTimer()
			_, _, err = cwdeployment.StartEntryHost(settings, timer, cwlog.Discard())
			is.True(err != nil)
		})
	}
}
