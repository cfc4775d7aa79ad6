// Package cwsettings reads and checks the JSON settings of one entry host.
package cwsettings

import (
	"net/netip"
	"os"
	"time"
	_ "time/tzdata" // hosts may lack a time zone database

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"currantward/internal/adapter/cwcodec"
	"currantward/internal/base/cwhttp"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwpolicy"
)

// Document is the JSON form of the settings.
type Document struct {
	HostID          string           `json:"host-id"`
	DataCentre      string           `json:"data-centre"`
	TimeZone        string           `json:"time-zone"`
	LogLevel        string           `json:"log-level"`
	ListenCallers   string           `json:"listen-callers"`
	ListenOperators string           `json:"listen-operators"`
	ListenPeers     string           `json:"listen-peers"`
	Platform        string           `json:"platform"`
	MaxBodyBytes    int              `json:"max-body-bytes"`
	ClaimTTL        cwcodec.Duration `json:"claim-ttl"`
	DrainTimeout    cwcodec.Duration `json:"drain-timeout"`
}

// Settings are checked settings.
type Settings struct {
	HostID          cwmodel.HostID
	DataCentre      cwmodel.DataCentre
	Zone            *time.Location
	LogLevel        logrus.Level
	ListenCallers   netip.AddrPort
	ListenOperators netip.AddrPort
	ListenPeers     netip.AddrPort
	Platform        netip.AddrPort
	MaxBodyBytes    int
	ClaimTTL        time.Duration
	DrainTimeout    time.Duration
}

// Defaults returns the document that holds the default of every key that has one.
func Defaults() Document {
	return Document{
		TimeZone:        "UTC",
		LogLevel:        "info",
		ListenCallers:   "127.0.0.1:8080",
		ListenOperators: "127.0.0.1:8081",
		ListenPeers:     "127.0.0.1:8082",
		MaxBodyBytes:    1 << 20,
		ClaimTTL:        cwcodec.Duration(6 * time.Second),
		DrainTimeout:    cwcodec.Duration(30 * time.Second),
	}
}

// Load reads a settings file.
func Load(path string) (s Settings, err error) {
	defer func() { err = eris.Wrapf(err, "load settings %s", path) }()
	data, err := os.ReadFile(path)
	if err != nil {
		return s, err
	}
	return Parse(data)
}

// Parse decodes settings on top of the defaults and names every fault with its key.
func Parse(data []byte) (s Settings, err error) {
	document := Defaults()
	if err = cwhttp.DecodeStrict(data, &document); err != nil {
		return s, err
	}
	return document.Check()
}

// Bounds of settings.
const (
	minBodyBytes = 1 << 10
	maxBodyBytes = 64 << 20
	minClaimTTL  = time.Second
	maxClaimTTL  = 5 * time.Minute
	maxDrain     = time.Hour
)

// Check returns the checked settings, or one error that names every fault with its key.
func (d Document) Check() (s Settings, err error) {
	var f cwpolicy.Faults
	f.Check(cwpolicy.IsName(d.HostID), "host-id", "%q is not kebab case of 1 to 63 characters", d.HostID)
	f.Check(cwpolicy.IsName(d.DataCentre), "data-centre", "%q is not kebab case of 1 to 63 characters", d.DataCentre)
	s.HostID, s.DataCentre = cwmodel.HostID(d.HostID), cwmodel.DataCentre(d.DataCentre)
	if s.Zone, err = time.LoadLocation(d.TimeZone); err != nil {
		f.Check(false, "time-zone", "%v", err)
	}
	if s.LogLevel, err = logrus.ParseLevel(d.LogLevel); err != nil {
		f.Check(false, "log-level", "%v", err)
	}
	s.ListenCallers = d.address(&f, "listen-callers", d.ListenCallers)
	s.ListenOperators = d.address(&f, "listen-operators", d.ListenOperators)
	s.ListenPeers = d.address(&f, "listen-peers", d.ListenPeers)
	s.Platform = d.address(&f, "platform", d.Platform)
	checkDistinct(&f, []listener{
		{"listen-callers", s.ListenCallers}, {"listen-operators", s.ListenOperators},
		{"listen-peers", s.ListenPeers}, {"platform", s.Platform},
	})
	f.Check(d.MaxBodyBytes >= minBodyBytes && d.MaxBodyBytes <= maxBodyBytes, "max-body-bytes", "%d is not from %d to %d", d.MaxBodyBytes, minBodyBytes, maxBodyBytes)
	s.MaxBodyBytes = d.MaxBodyBytes
	s.ClaimTTL, s.DrainTimeout = time.Duration(d.ClaimTTL), time.Duration(d.DrainTimeout)
	f.Check(s.ClaimTTL >= minClaimTTL && s.ClaimTTL <= maxClaimTTL, "claim-ttl", "%v is not from %v to %v", s.ClaimTTL, minClaimTTL, maxClaimTTL)
	f.Check(s.DrainTimeout >= 0 && s.DrainTimeout <= maxDrain, "drain-timeout", "%v is not from 0 to %v", s.DrainTimeout, maxDrain)
	return s, f.Err()
}

func (d Document) address(f *cwpolicy.Faults, key, text string) netip.AddrPort {
	addr, err := netip.ParseAddrPort(text)
	if err != nil {
		f.Check(false, key, "%q is not an IP address with a port", text)
	}
	return addr
}

// listener is an address with the key that states it.
type listener struct {
	key  string
	addr netip.AddrPort
}

// checkDistinct notes each pair of addresses that cannot both be used; port 0 is chosen by the system.
func checkDistinct(f *cwpolicy.Faults, listeners []listener) {
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
