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

// Validate returns the validated settings, or one error that names every invalid key.
func (d Document) Validate() (s Settings, err error) {
	var errs cwpolicy.ValidationErrors
	d.validateIdentity(&errs, &s)
	d.validateAddresses(&errs, &s)
	d.validateOperators(&errs, &s)
	d.validateNumbers(&errs, &s)
	d.validateDurations(&errs, &s)
	return s, errs.Err()
}

// validateIdentity checks the names of the host and its data centre, the time zone and the log level, and sets them in s. Like the
// other validate methods, it records an error for each invalid key and goes on.
func (d Document) validateIdentity(errs *cwpolicy.ValidationErrors, s *Settings) {
	var err error
	errs.Check(cwpolicy.IsValidName(d.HostID), "host-id", "%q is not kebab case of 1 to 63 characters", d.HostID)
	errs.Check(cwpolicy.IsValidName(d.DataCentre), "data-centre", "%q is not kebab case of 1 to 63 characters", d.DataCentre)
	s.HostID, s.DataCentre = cwmodel.HostID(d.HostID), cwmodel.DataCentre(d.DataCentre)
	s.TimeZone, err = time.LoadLocation(d.TimeZone)
	errs.Check(err == nil, "time-zone", "%v", err)
	s.LogLevel, err = logrus.ParseLevel(d.LogLevel)
	errs.Check(err == nil, "log-level", "%v", err)
}

// validateAddresses parses the addresses, requires them to be distinct and sets them in s.
func (d Document) validateAddresses(errs *cwpolicy.ValidationErrors, s *Settings) {
	s.ListenCallers = parseAddress(errs, "listen-callers", d.ListenCallers)
	s.ListenOperators = parseAddress(errs, "listen-operators", d.ListenOperators)
	s.ListenPeers = parseAddress(errs, "listen-peers", d.ListenPeers)
	s.Platform = parseAddress(errs, "platform", d.Platform)
	errs.Check(!s.Platform.IsValid() || s.Platform.Port() != 0, "platform", "port 0 can't be called")
	validateDistinct(errs, []keyedAddress{
		{"listen-callers", s.ListenCallers}, {"listen-operators", s.ListenOperators},
		{"listen-peers", s.ListenPeers}, {"platform", s.Platform},
	})
}

// parseAddress parses an IP address with a port. For an invalid text it records an error for the key and returns the zero address, which is not
// valid.
func parseAddress(errs *cwpolicy.ValidationErrors, key, text string) netip.AddrPort {
	addr, err := netip.ParseAddrPort(text)
	errs.Check(err == nil, key, "%q is not an IP address with a port", text)
	return addr
}

// validateOperators checks the name, role and token of each operator, and that names and tokens are unique. At least one operator is required
// unless the operators' listener is reachable from this host only.
func (d Document) validateOperators(errs *cwpolicy.ValidationErrors, s *Settings) {
	loopback := !s.ListenOperators.IsValid() || s.ListenOperators.Addr().IsLoopback()
	errs.Check(loopback || len(d.Operators) > 0, "operators", "tokens are needed, since %s is reachable from other hosts", s.ListenOperators)
	names, tokens := map[string]bool{}, map[string]bool{}
	for n, o := range d.Operators {
		key := fmt.Sprintf("operators[%d]", n)
		errs.Check(cwpolicy.IsValidName(o.Name), key+".name", "%q is not kebab case of 1 to 63 characters", o.Name)
		errs.Check(!names[o.Name], key+".name", "%q stands twice", o.Name)
		role, err := cwadmin.ParseRole(o.Role)
		errs.Check(err == nil, key+".role", "%q is neither read nor write", o.Role)
		sum, err := hex.DecodeString(o.TokenSHA256)
		errs.Check(err == nil && len(sum) == sha256.Size, key+".token-sha256", "not the 64 hexadecimal digits of a SHA-256 sum")
		errs.Check(!tokens[string(sum)], key+".token-sha256", "the same token stands twice")
		names[o.Name], tokens[string(sum)] = true, true
		validated := cwadmin.Operator{Name: o.Name, Role: role}
		copy(validated.TokenSHA256[:], sum)
		s.Operators = append(s.Operators, validated)
	}
}

// validateNumbers checks the bounds of sizes and counts, and sets them in s.
func (d Document) validateNumbers(errs *cwpolicy.ValidationErrors, s *Settings) {
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
	for _, v := range numbers {
		errs.Check(v.value >= v.min && v.value <= v.max, v.key, "%d is not from %d to %d", v.value, v.min, v.max)
		*v.set = v.value
	}
}

// validateDurations checks the bounds of times and stores those times in s. A peer must miss two load reports before it counts as unreachable.
func (d Document) validateDurations(errs *cwpolicy.ValidationErrors, s *Settings) {
	durations := []struct {
		key      string
		value    cwcodec.Duration
		min, max time.Duration
		target   *time.Duration
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
	for _, v := range durations {
		*v.target = time.Duration(v.value)
		errs.Check(*v.target >= v.min && *v.target <= v.max, v.key, "%v is not from %v to %v", *v.target, v.min, v.max)
	}
	errs.Check(s.SilenceLimit >= 2*s.ExchangeEvery, "silence-limit", "%v is below two periods of exchange-every, %v", s.SilenceLimit, s.ExchangeEvery)
}

// keyedAddress is an address with the settings key that gives it.
type keyedAddress struct {
	key  string
	addr netip.AddrPort
}

// validateDistinct reports each pair of addresses that cannot both be used. Port 0 conflicts with none, since the system chooses it.
func validateDistinct(errs *cwpolicy.ValidationErrors, addresses []keyedAddress) {
	for n, a := range addresses {
		for _, b := range addresses[:n] {
			if !a.addr.IsValid() || !b.addr.IsValid() || a.addr.Port() == 0 || a.addr.Port() != b.addr.Port() {
				continue
			}
			overlaps := a.addr.Addr() == b.addr.Addr() || a.addr.Addr().IsUnspecified() || b.addr.Addr().IsUnspecified()
			errs.Check(!overlaps, a.key, "%s overlaps with %s of %s", a.addr, b.addr, b.key)
		}
	}
}
