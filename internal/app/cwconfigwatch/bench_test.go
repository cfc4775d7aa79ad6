package cwconfigwatch

import (
	"fmt"
	"testing"

	"currantward/internal/port/cwcellport"
)

// benchmarkQueues is the number of queues of the configuration in the benchmarks.
const benchmarkQueues = 10_000

// largeConfig returns a configuration of benchmarkQueues queues.
func largeConfig(version uint64) *cwcellport.Configuration {
	cfg := &cwcellport.Configuration{Version: version}
	for n := range benchmarkQueues {
		cfg.Queues = append(cfg.Queues, queue(fmt.Sprint("bulk-", n), 1))
	}
	return cfg
}

// BenchmarkIndex measures what a host spends on a version of the configuration that it has decoded.
func BenchmarkIndex(b *testing.B) {
	current := newIndexedConfig(largeConfig(1), nil)
	next := largeConfig(2)
	for b.Loop() {
		newIndexedConfig(next, current)
	}
}

// BenchmarkApplyDifference measures what a host spends on a version with one more queue that it got from a peer.
func BenchmarkApplyDifference(b *testing.B) {
	base := newIndexedConfig(largeConfig(1), nil)
	cfg := largeConfig(2)
	cfg.Queues = append(cfg.Queues, queue("new", 1))
	d := newIndexedConfig(cfg, base).since(1)
	for b.Loop() {
		if _, err := applyDifference(base, d); err != nil {
			b.Fatal(err)
		}
	}
}
