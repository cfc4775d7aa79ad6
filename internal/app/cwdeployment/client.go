package cwdeployment

import (
	"context"
	"net/netip"
	"time"

	"github.com/valyala/fasthttp"

	"currantward/internal/adapter/cwadmin"
	"currantward/internal/adapter/cwcodec"
	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwhttp"
	"currantward/internal/base/cwtimer"
	"currantward/internal/core/cwpolicy"
)

// PutConfiguration commits cfg, whatever its own version, as the version that follows the one on the entry host.
func PutConfiguration(ctx context.Context, operatorsAddr netip.AddrPort, client *cwhttp.Client, cfg cwpolicy.Configuration) error {
	var current cwcodec.Configuration
	if err := client.Call(ctx, fasthttp.MethodGet, operatorsAddr, cwadmin.PathConfiguration, nil, &current); err != nil {
		return err
	}
	cfg.Version = cwpolicy.Version(current.Version + 1)
	return client.Call(ctx, fasthttp.MethodPut, operatorsAddr, cwadmin.PathConfiguration, cwcodec.ConfigurationOf(cfg), nil)
}

// AwaitWorkers polls the entry host until it is ready for tasks: it has a configuration and owns at least the given number of workers. The error
// after the end of ctx states only the number of owned workers at the last poll. If that is the whole number, the configuration is missing;
// zero may also mean that the host did not respond.
func AwaitWorkers(ctx context.Context, operatorsAddr netip.AddrPort, client *cwhttp.Client, timer *cwtimer.Service, workers int) error {
	const pollInterval = 20 * time.Millisecond
	for {
		var status cwadmin.Status
		err := client.Call(ctx, fasthttp.MethodGet, operatorsAddr, cwadmin.PathStatus, nil, &status)
		if err == nil && status.OwnedWorkers >= workers && status.ConfigurationVersion > 0 {
			return nil
		}
		if !timer.Sleep(ctx.Done(), pollInterval) {
			return cwfault.New(cwfault.Unavailable, "wait for workers: the entry host owns %d of %d", status.OwnedWorkers, workers)
		}
	}
}
