package cwconfigwatch

import (
	"encoding/binary"
	"math"
	"strings"

	"github.com/cespare/xxhash/v2"

	"currantward/internal/core/cwwork"
	"currantward/internal/port/cwcellport"
)

// indexedConfig is one configuration with its queues indexed by name and by host. It is immutable.
type indexedConfig struct {
	*cwcellport.Configuration
	byName   map[cwwork.QueueName]*cwcellport.Queue
	byHost   map[string][]*cwcellport.Queue
	checksum uint64                                // of the queues
	history  []*cwcellport.ConfigurationDifference // from earlier versions to this one, each applying to the result of the one before
}

// newIndexedConfig indexes a configuration that replaces previous, which is nil for the first one.
func newIndexedConfig(cfg *cwcellport.Configuration, previous *indexedConfig) *indexedConfig {
	c := &indexedConfig{
		Configuration: cfg,
		byName:        make(map[cwwork.QueueName]*cwcellport.Queue, len(cfg.Queues)),
		byHost:        map[string][]*cwcellport.Queue{},
	}
	var buf []byte
	for n := range cfg.Queues {
		q := &cfg.Queues[n]
		c.byName[q.Name()] = q
		c.byHost[q.Host] = append(c.byHost[q.Host], q)
		buf = appendQueue(buf[:0], q)
		c.checksum += xxhash.Sum64(buf) // a sum does not depend on the order of the queues
	}
	if previous != nil {
		c.history = trimHistory(append(previous.history[:len(previous.history):len(previous.history)], c.difference(previous)), len(cfg.Queues))
	}
	return c
}

// appendQueue appends an unambiguous encoding of a queue to buf.
func appendQueue(buf []byte, q *cwcellport.Queue) []byte {
	for _, text := range []string{q.Host, q.Prefix, q.Policy.Service} {
		buf = binary.AppendUvarint(buf, uint64(len(text)))
		buf = append(buf, text...)
	}
	p := &q.Policy
	for _, number := range []int64{
		int64(p.Priority), int64(p.MaxAttempts), int64(p.TargetLatency), int64(p.Advice.Base), int64(p.Advice.PerWorker), int64(p.Advice.Validity),
	} {
		buf = binary.AppendVarint(buf, number)
	}
	return binary.BigEndian.AppendUint64(buf, math.Float64bits(p.Stretch))
}

// route returns the queue with the longest prefix of a path, or nil if no prefix matches.
func (c *indexedConfig) route(host, path string) (q *cwcellport.Queue) {
	for _, candidate := range c.byHost[host] {
		if strings.HasPrefix(path, candidate.Prefix) && (q == nil || len(candidate.Prefix) > len(q.Prefix)) {
			q = candidate
		}
	}
	return q
}
