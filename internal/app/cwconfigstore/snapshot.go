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

// Rows of the configuration besides those of cwconfigsync.
const (
	keyRecords = "config/records"  // the latest records, without documents
	keyHistory = "config/history/" // one whole configuration for each version
)

// HistoryLimit is how many versions are kept.
const HistoryLimit = 200

// snapshot is the configuration with its records and the versions of their rows.
type snapshot struct {
	cfg        cwpolicy.Configuration
	row        cwport.RowVersion
	records    []cwconfigchange.AuditRecord
	recordsRow cwport.RowVersion
}

// find returns the record of a change that was accepted.
func (s snapshot) find(id cwconfigchange.ID) (r cwconfigchange.AuditRecord, ok bool) {
	for _, r = range s.records {
		if r.Change == id {
			return r, true
		}
	}
	return cwconfigchange.AuditRecord{}, false
}

// read returns the present rows; a transaction that checks both can't be made on a mix of versions.
func (o *Store) read(ctx context.Context) (s snapshot, err error) {
	row, err := o.opts.Table.Read(ctx, cwconfigsync.KeyConfiguration)
	if err != nil || row.Version == 0 {
		return s, err
	}
	s.row = row.Version
	if s.cfg, err = cwcodec.DecodeConfiguration(row.Value); err != nil {
		return s, err
	}
	records, err := o.opts.Table.Read(ctx, keyRecords)
	if err != nil || records.Version == 0 {
		return s, err
	}
	s.recordsRow = records.Version
	s.records, err = cwcodec.DecodeHistory(records.Value)
	return s, err
}

// transaction returns the one transaction that replaces s by next.
func (s snapshot) transaction(next cwpolicy.Configuration, record cwconfigchange.AuditRecord) (txn cwport.Txn, err error) {
	records := append(slices.Clone(s.records), record)
	if len(records) > HistoryLimit {
		txn.Deletes = []string{historyKey(records[0].Version)}
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
	txn.Preconditions = []cwport.Precondition{{Key: cwconfigsync.KeyConfiguration, Version: s.row}, {Key: keyRecords, Version: s.recordsRow}}
	txn.Puts = []cwport.Put{
		{Key: cwconfigsync.KeyConfiguration, Value: document}, {Key: cwconfigsync.KeyVersion, Value: version},
		{Key: keyRecords, Value: list}, {Key: historyKey(next.Version), Value: document},
	}
	return txn, nil
}

func historyKey(v cwpolicy.Version) string { return fmt.Sprintf("%s%020d", keyHistory, v) }

// History returns the records of the latest changes, the oldest first.
func (o *Store) History(ctx context.Context) (records []cwconfigchange.AuditRecord, err error) {
	defer func() { err = eris.Wrap(err, "read history") }()
	s, err := o.read(ctx)
	return s.records, err
}

// Versions returns two kept versions; version zero is the empty configuration.
func (o *Store) Versions(ctx context.Context, from, to cwpolicy.Version) (before, after cwpolicy.Configuration, err error) {
	defer func() { err = eris.Wrap(err, "read versions") }()
	if before, err = o.version(ctx, from); err != nil {
		return before, after, err
	}
	after, err = o.version(ctx, to)
	return before, after, err
}

func (o *Store) version(ctx context.Context, v cwpolicy.Version) (cfg cwpolicy.Configuration, err error) {
	if v == 0 {
		return cfg, nil
	}
	row, err := o.opts.Table.Read(ctx, historyKey(v))
	if err != nil {
		return cfg, err
	}
	if row.Version == 0 {
		return cfg, cwfault.New(cwfault.NotFound, "version %d is not among the %d that are kept", v, HistoryLimit)
	}
	return cwcodec.DecodeConfiguration(row.Value)
}
