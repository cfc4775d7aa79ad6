// Package cwsettings loads and validates the JSON settings of one entry host.
package cwsettings

import (
	"net/netip"
	"os"
	"strings"
	"time"
	_ "time/tzdata" // a host may lack a time zone database

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"currantward/internal/adapter/cwadmin"
	"currantward/internal/adapter/cwcodec"
	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwhttp"
	"currantward/internal/core/cwmodel"
)

// Document is the JSON form of the settings. Settings describes the keys.
type Document struct {
	HostID             string           `json:"host-id"`
	DataCentre         string           `json:"data-centre"`
	TimeZone           string           `json:"time-zone"`
	LogLevel           string           `json:"log-level"`
	ListenCallers      string           `json:"listen-callers"`
	ListenOperators    string           `json:"listen-operators"`
	ListenPeers        string           `json:"listen-peers"`
	Platform           string           `json:"platform"`
	Operators          []Operator       `json:"operators"`
	MaxBodyBytes       int              `json:"max-body-bytes"`
	MaxHeaderBytes     int              `json:"max-header-bytes"`
	MaxConnections     int              `json:"max-connections"`
	ReadTimeout        cwcodec.Duration `json:"read-timeout"`
	IdleTimeout        cwcodec.Duration `json:"idle-timeout"`
	ClaimTTL           cwcodec.Duration `json:"claim-ttl"`
	DrainTimeout       cwcodec.Duration `json:"drain-timeout"`
	PoolSize           int              `json:"pool-size"`
	InboxSize          int              `json:"inbox-size"`
	TickEvery          cwcodec.Duration `json:"tick-every"`
	StartWindow        cwcodec.Duration `json:"start-window"`
	OrderTimeout       cwcodec.Duration `json:"order-timeout"`
	CompletionWait     cwcodec.Duration `json:"completion-wait"`
	HostListEvery      cwcodec.Duration `json:"host-list-every"`
	ExchangeEvery      cwcodec.Duration `json:"exchange-every"`
	SilenceLimit       cwcodec.Duration `json:"silence-limit"`
	PeerTimeout        cwcodec.Duration `json:"peer-timeout"`
	ConfigurationEvery cwcodec.Duration `json:"configuration-every"`
	TotalsEvery        cwcodec.Duration `json:"totals-every"`
	MaxMetricLabels    int              `json:"max-metric-labels"`
}

// Operator is the holder of a token for the operators' listener.
type Operator struct {
	Name        string `json:"name"`
	Role        string `json:"role"`
	TokenSHA256 string `json:"token-sha256"` // hexadecimal
}

// Settings are validated settings.
type Settings struct {
	HostID             cwmodel.HostID
	DataCentre         cwmodel.DataCentre
	TimeZone           *time.Location // of the days that totals are counted by
	LogLevel           logrus.Level
	ListenCallers      netip.AddrPort
	ListenOperators    netip.AddrPort
	ListenPeers        netip.AddrPort
	Platform           netip.AddrPort     // address of the platform
	Operators          []cwadmin.Operator // holders of tokens; empty admits everyone
	MaxBodyBytes       int
	MaxHeaderBytes     int
	MaxConnections     int
	ReadTimeout        time.Duration
	IdleTimeout        time.Duration
	ClaimTTL           time.Duration // a claim on a worker expires this long after its last renewal
	DrainTimeout       time.Duration // limit of a graceful shutdown
	PoolSize           int           // limit on concurrent calls to workers, peers and the platform
	InboxSize          int           // capacity of the inboxes of the scheduler and the totals
	TickEvery          time.Duration // interval of the scheduler's ticks
	StartWindow        time.Duration // a task starts within this time of its scheduling decision or not at all
	OrderTimeout       time.Duration // timeout of one call that sends an order or a claim to a worker
	CompletionWait     time.Duration // how long a worker may delay its response to a poll for completions
	HostListEvery      time.Duration // interval of reads of the platform's host list
	ExchangeEvery      time.Duration // interval of load reports between peers
	SilenceLimit       time.Duration // a peer without a load report for longer is unreachable
	PeerTimeout        time.Duration // of a call to a peer and of a read of the configuration
	ConfigurationEvery time.Duration // interval of reads of the configuration from the table
	TotalsEvery        time.Duration // interval of writes of the day's totals to the table
	MaxMetricLabels    int           // limit on combinations of profile and team in metrics; further ones share one label of each class
}

// Defaults returns a document with the default of every key that has one.
func Defaults() Document {
	return Document{
		TimeZone:           "UTC",
		LogLevel:           "info",
		ListenCallers:      "127.0.0.1:8080",
		ListenOperators:    "127.0.0.1:8081",
		ListenPeers:        "127.0.0.1:8082",
		MaxBodyBytes:       1 << 20,
		MaxHeaderBytes:     8 << 10,
		MaxConnections:     4096,
		ReadTimeout:        cwcodec.Duration(10 * time.Second),
		IdleTimeout:        cwcodec.Duration(time.Minute),
		ClaimTTL:           cwcodec.Duration(6 * time.Second),
		DrainTimeout:       cwcodec.Duration(30 * time.Second),
		PoolSize:           1024,
		InboxSize:          16384,
		TickEvery:          cwcodec.Duration(50 * time.Millisecond),
		StartWindow:        cwcodec.Duration(2 * time.Second),
		OrderTimeout:       cwcodec.Duration(2 * time.Second),
		CompletionWait:     cwcodec.Duration(15 * time.Second),
		HostListEvery:      cwcodec.Duration(time.Second),
		ExchangeEvery:      cwcodec.Duration(500 * time.Millisecond),
		SilenceLimit:       cwcodec.Duration(3 * time.Second),
		PeerTimeout:        cwcodec.Duration(time.Second),
		ConfigurationEvery: cwcodec.Duration(time.Second),
		TotalsEvery:        cwcodec.Duration(2 * time.Second),
		MaxMetricLabels:    200,
	}
}

// Load reads and parses a settings file.
func Load(path string) (s Settings, err error) {
	defer func() { err = eris.Wrapf(err, "load settings %s", path) }()
	data, err := os.ReadFile(path)
	if err != nil {
		return s, err
	}
	return Parse(data)
}

// Parse decodes settings on top of the defaults. Its error names every invalid key.
func Parse(data []byte) (s Settings, err error) {
	document := Defaults()
	messages := cwhttp.DecodeFields(data, &document)
	s, err = document.Validate()
	if len(messages) == 0 {
		return s, err
	}
	if err != nil {
		messages = append(messages, cwfault.MessageOf(err))
	}
	return s, cwfault.New(cwfault.Invalid, "%s", strings.Join(messages, "; "))
}
