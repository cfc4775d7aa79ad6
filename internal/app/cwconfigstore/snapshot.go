package cwconfigstore

import (
	"context"
	"fmt"
	"slices"

	"github.com/rotisserie/eris"

	"currantward/internal/adapter/cwcodec"
	"currantward/internal/app/cwconfigsync"
	"currantward/internal/base/cwfault"
	"currantward/internal/core/cwconfigchange"
	"currantward/internal/core/cwpolicy"
	"currantward/internal/port/cwport"
)

// Keys of the rows of the configuration that cwconfigsync does not read.
const (
	keyAuditRecords  = "config/records"  // the latest audit records, without the configurations
	keyVersionPrefix = "config/history/" // prefix; one whole configuration for each version
)

// HistoryLimit is the number of versions that are kept.
const HistoryLimit = 200

// snapshot is the configuration with its audit records, oldest first, and the versions of both rows; a row version of zero means no row.
type snapshot struct {
	cfg               cwpolicy.Configuration
	cfgRowVersion     cwport.RowVersion
	records           []cwconfigchange.AuditRecord
	recordsRowVersion cwport.RowVersion
}

// findRecord returns the audit record of a change; ok is false if the change is not among the kept ones.
func (s snapshot) findRecord(id cwconfigchange.ID) (r cwconfigchange.AuditRecord, ok bool) {
	for _, r = range s.records {
		if r.Change == id {
			return r, true
		}
	}
	return cwconfigchange.AuditRecord{}, false
}

// readSnapshot reads the configuration and its audit records; both are empty if there is no configuration yet. The two reads may see different
// versions; a transaction with both rows as preconditions then fails.
func (s *Store) readSnapshot(ctx context.Context) (snap snapshot, err error) {
	row, err := s.opts.Table.Read(ctx, cwconfigsync.KeyConfiguration)
	if err != nil || row.Version == 0 {
		return snap, err
	}
	snap.cfgRowVersion = row.Version
	if snap.cfg, err = cwcodec.DecodeConfiguration(row.Value); err != nil {
		return snap, err
	}
	records, err := s.opts.Table.Read(ctx, keyAuditRecords)
	if err != nil || records.Version == 0 {
		return snap, err
	}
	snap.recordsRowVersion = records.Version
	snap.records, err = cwcodec.DecodeHistory(records.Value)
	return snap, err
}

// transaction returns the transaction that replaces the configuration of s by next, stores next under its version as well and appends the audit
// record. Beyond HistoryLimit it drops the oldest record with its version. It conflicts if the configuration row or the row of the audit
// records has changed since s was read.
func (s snapshot) transaction(next cwpolicy.Configuration, record cwconfigchange.AuditRecord) (txn cwport.Txn, err error) {
	records := append(slices.Clone(s.records), record)
	if len(records) > HistoryLimit {
		txn.Deletes = []string{versionKey(records[0].Version)}
		records = records[1:]
	}
	document, err := cwcodec.EncodeConfiguration(next)
	if err != nil {
		return txn, err
	}
	list, err := cwcodec.EncodeHistory(records)
	if err != nil {
		return txn, err
	}
	version, err := cwcodec.EncodeVersion(next.Version)
	if err != nil {
		return txn, err
	}
	txn.Preconditions = []cwport.Precondition{{Key: cwconfigsync.KeyConfiguration, Version: s.cfgRowVersion}, {Key: keyAuditRecords, Version: s.recordsRowVersion}}
	txn.Puts = []cwport.Put{
		{Key: cwconfigsync.KeyConfiguration, Value: document}, {Key: cwconfigsync.KeyVersion, Value: version},
		{Key: keyAuditRecords, Value: list}, {Key: versionKey(next.Version), Value: document},
	}
	return txn, nil
}

// versionKey returns the key of the row with one whole version of the configuration.
func versionKey(v cwpolicy.Version) string { return fmt.Sprintf("%s%020d", keyVersionPrefix, v) }

// History returns the audit records of the latest changes, oldest first.
func (s *Store) History(ctx context.Context) (records []cwconfigchange.AuditRecord, err error) {
	defer func() { err = eris.Wrap(err, "read history") }()
	snap, err := s.readSnapshot(ctx)
	return snap.records, err
}

// Versions returns two versions of the configuration, to be compared. Version zero is the empty configuration. A version that is not kept any
// more is NotFound.
func (s *Store) Versions(ctx context.Context, from, to cwpolicy.Version) (before, after cwpolicy.Configuration, err error) {
	defer func() { err = eris.Wrap(err, "read versions") }()
	if before, err = s.readVersion(ctx, from); err != nil {
		return before, after, err
	}
	after, err = s.readVersion(ctx, to)
	return before, after, err
}

// readVersion returns one kept version of the configuration, or the empty configuration for version zero.
func (s *Store) readVersion(ctx context.Context, v cwpolicy.Version) (cfg cwpolicy.Configuration, err error) {
	if v == 0 {
		return cfg, nil
	}
	row, err := s.opts.Table.Read(ctx, versionKey(v))
	if err != nil {
		return cfg, err
	}
	if row.Version == 0 {
		return cfg, cwfault.New(cwfault.NotFound, "version %d is not among the %d that are kept", v, HistoryLimit)
	}
	return cwcodec.DecodeConfiguration(row.Value)
}
