package cwsettings

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"currantward/internal/adapter/cwadmin"
	"currantward/internal/adapter/cwcodec"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwpolicy"
)

// Validate returns the checked settings, or one error that names every fault with its key.
func (d Document) Validate() (s Settings, err error) {
	var f cwpolicy.ValidationErrors
	d.checkIdentity(&f, &s)
	d.checkAddresses(&f, &s)
	d.checkOperators(&f, &s)
	d.checkNumbers(&f, &s)
	d.checkDurations(&f, &s)
	return s, f.Err()
}

func (d Document) checkIdentity(f *cwpolicy.ValidationErrors, s *Settings) {
	var err error
	f.Check(cwpolicy.IsValidName(d.HostID), "host-id", "%q is not kebab case of 1 to 63 characters", d.HostID)
	f.Check(cwpolicy.IsValidName(d.DataCentre), "data-centre", "%q is not kebab case of 1 to 63 characters", d.DataCentre)
	s.HostID, s.DataCentre = cwmodel.HostID(d.HostID), cwmodel.DataCentre(d.DataCentre)
	s.TimeZone, err = time.LoadLocation(d.TimeZone)
	f.Check(err == nil, "time-zone", "%v", err)
	s.LogLevel, err = logrus.ParseLevel(d.LogLevel)
	f.Check(err == nil, "log-level", "%v", err)
}

func (d Document) checkAddresses(f *cwpolicy.ValidationErrors, s *Settings) {
	s.ListenCallers = address(f, "listen-callers", d.ListenCallers)
	s.ListenOperators = address(f, "listen-operators", d.ListenOperators)
	s.ListenPeers = address(f, "listen-peers", d.ListenPeers)
	s.Platform = address(f, "platform", d.Platform)
	f.Check(!s.Platform.IsValid() || s.Platform.Port() != 0, "platform", "port 0 can't be called")
	checkDistinct(f, []listener{
		{"listen-callers", s.ListenCallers}, {"listen-operators", s.ListenOperators},
		{"listen-peers", s.ListenPeers}, {"platform", s.Platform},
	})
}

func address(f *cwpolicy.ValidationErrors, key, text string) netip.AddrPort {
	addr, err := netip.ParseAddrPort(text)
	f.Check(err == nil, key, "%q is not an IP address with a port", text)
	return addr
}

// checkOperators demands tokens unless only this host can reach the listener.
func (d Document) checkOperators(f *cwpolicy.ValidationErrors, s *Settings) {
	local := !s.ListenOperators.IsValid() || s.ListenOperators.Addr().IsLoopback()
	f.Check(local || len(d.Operators) > 0, "operators", "tokens are needed, since %s is reachable from other hosts", s.ListenOperators)
	names, tokens := map[string]bool{}, map[string]bool{}
	for n, o := range d.Operators {
		key := fmt.Sprintf("operators[%d]", n)
		f.Check(cwpolicy.IsValidName(o.Name), key+".name", "%q is not kebab case of 1 to 63 characters", o.Name)
		f.Check(!names[o.Name], key+".name", "%q stands twice", o.Name)
		role, err := cwadmin.ParseRole(o.Role)
		f.Check(err == nil, key+".role", "%q is neither read nor write", o.Role)
		sum, err := hex.DecodeString(o.TokenSHA256)
		f.Check(err == nil && len(sum) == sha256.Size, key+".token-sha256", "not the 64 hexadecimal digits of a SHA-256 sum")
		f.Check(!tokens[string(sum)], key+".token-sha256", "the same token stands twice")
		names[o.Name], tokens[string(sum)] = true, true
		operator := cwadmin.Operator{Name: o.Name, Role: role}
		copy(operator.TokenSHA256[:], sum)
		s.Operators = append(s.Operators, operator)
	}
}

func (d Document) checkNumbers(f *cwpolicy.ValidationErrors, s *Settings) {
	numbers := []struct {
		key      string
		value    int
		min, max int
		set      *int
	}{
		{"max-body-bytes", d.MaxBodyBytes, 1 << 10, 64 << 20, &s.MaxBodyBytes},
		{"max-header-bytes", d.MaxHeaderBytes, 1 << 10, 1 << 20, &s.MaxHeaderBytes},
		{"max-connections", d.MaxConnections, 1, 1 << 20, &s.MaxConnections},
		{"pool-size", d.PoolSize, 16, 1 << 16, &s.PoolSize},
		{"inbox-size", d.InboxSize, 64, 1 << 20, &s.InboxSize},
		{"max-metric-labels", d.MaxMetricLabels, 1, 10000, &s.MaxMetricLabels},
	}
	for _, n := range numbers {
		f.Check(n.value >= n.min && n.value <= n.max, n.key, "%d is not from %d to %d", n.value, n.min, n.max)
		*n.set = n.value
	}
}

func (d Document) checkDurations(f *cwpolicy.ValidationErrors, s *Settings) {
	durations := []struct {
		key      string
		value    cwcodec.Duration
		min, max time.Duration
		set      *time.Duration
	}{
		{"read-timeout", d.ReadTimeout, 100 * time.Millisecond, time.Hour, &s.ReadTimeout},
		{"idle-timeout", d.IdleTimeout, time.Second, time.Hour, &s.IdleTimeout},
		{"claim-ttl", d.ClaimTTL, time.Second, 5 * time.Minute, &s.ClaimTTL},
		{"drain-timeout", d.DrainTimeout, 0, time.Hour, &s.DrainTimeout},
		{"tick-every", d.TickEvery, time.Millisecond, time.Second, &s.TickEvery},
		{"start-window", d.StartWindow, 100 * time.Millisecond, time.Minute, &s.StartWindow},
		{"order-timeout", d.OrderTimeout, 100 * time.Millisecond, time.Minute, &s.OrderTimeout},
		{"completion-wait", d.CompletionWait, 100 * time.Millisecond, time.Minute, &s.CompletionWait},
		{"host-list-every", d.HostListEvery, 100 * time.Millisecond, time.Minute, &s.HostListEvery},
		{"exchange-every", d.ExchangeEvery, 50 * time.Millisecond, 10 * time.Second, &s.ExchangeEvery},
		{"silence-limit", d.SilenceLimit, 200 * time.Millisecond, time.Minute, &s.SilenceLimit},
		{"peer-timeout", d.PeerTimeout, 50 * time.Millisecond, 10 * time.Second, &s.PeerTimeout},
		{"configuration-every", d.ConfigurationEvery, 100 * time.Millisecond, 2 * time.Second, &s.ConfigurationEvery},
		{"totals-every", d.TotalsEvery, 100 * time.Millisecond, time.Minute, &s.TotalsEvery},
	}
	for _, n := range durations {
		*n.set = time.Duration(n.value)
		f.Check(*n.set >= n.min && *n.set <= n.max, n.key, "%v is not from %v to %v", *n.set, n.min, n.max)
	}
	f.Check(s.SilenceLimit >= 2*s.ExchangeEvery, "silence-limit", "%v is below two periods of exchange-every, %v", s.SilenceLimit, s.ExchangeEvery)
}

// listener is an address with the key that states it.
type listener struct {
	key  string
	addr netip.AddrPort
}

// checkDistinct notes each pair of addresses that cannot both be used; port 0 is chosen by the system.
func checkDistinct(f *cwpolicy.ValidationErrors, listeners []listener) {
	for n, a := range listeners {
		for _, b := range listeners[:n] {
			if !a.addr.IsValid() || !b.addr.IsValid() || a.addr.Port() == 0 || a.addr.Port() != b.addr.Port() {
				continue
			}
			overlaps := a.addr.Addr() == b.addr.Addr() || a.addr.Addr().IsUnspecified() || b.addr.Addr().IsUnspecified()
			f.Check(!overlaps, a.key, "%s overlaps with %s of %s", a.addr, b.addr, b.key)
		}
	}
}
