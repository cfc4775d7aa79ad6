// Package cwoperator carries out what operators ask: changes of the configuration, each one transaction.
package cwoperator

import (
	"context"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"currantward/internal/adapter/cwcodec"
	"currantward/internal/app/cwwatch"
	"currantward/internal/base/cwfault"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwpolicy"
	"currantward/internal/port/cwport"
)

// Operator changes the configuration in the table.
type Operator struct {
	table   cwport.Table
	changed func()
}

// New returns an operator; changed is called after each accepted change.
func New(table cwport.Table, changed func()) *Operator {
	return &Operator{table: table, changed: changed}
}

// Configuration returns the configuration in the table.
func (o *Operator) Configuration(ctx context.Context) (cfg cwpolicy.Configuration, err error) {
	defer func() { err = eris.Wrap(err, "read configuration") }()
	cfg, _, err = o.read(ctx)
	return cfg, err
}

// Replace commits cfg, whose version must be one above the present one.
func (o *Operator) Replace(ctx context.Context, cfg cwpolicy.Configuration) (err error) {
	defer func() { err = eris.Wrap(err, "replace configuration") }()
	present, row, err := o.read(ctx)
	if err != nil {
		return err
	}
	if cfg.Version != present.Version+1 {
		return cwfault.New(cwfault.Conflict, "the present version is %d; a change must carry %d", present.Version, present.Version+1)
	}
	return o.commit(ctx, cfg, row)
}

// PutProfile commits one profile on top of the present configuration.
func (o *Operator) PutProfile(ctx context.Context, p cwpolicy.Profile) (version cwpolicy.Version, err error) {
	defer func() { err = eris.Wrap(err, "put profile") }()
	return o.edit(ctx, func(cfg *cwpolicy.Configuration) error {
		cfg.Profiles = slices.DeleteFunc(cfg.Profiles, func(q cwpolicy.Profile) bool { return q.Name == p.Name })
		cfg.Profiles = append(cfg.Profiles, p)
		slices.SortFunc(cfg.Profiles, func(a, b cwpolicy.Profile) int { return strings.Compare(string(a.Name), string(b.Name)) })
		return nil
	})
}

// DeleteProfile commits the removal of one profile.
func (o *Operator) DeleteProfile(ctx context.Context, name cwmodel.ProfileName) (version cwpolicy.Version, err error) {
	defer func() { err = eris.Wrap(err, "delete profile") }()
	return o.edit(ctx, func(cfg *cwpolicy.Configuration) error {
		if _, ok := cfg.Profile(name); !ok {
			return cwfault.New(cwfault.NotFound, "no profile %q", name)
		}
		cfg.Profiles = slices.DeleteFunc(cfg.Profiles, func(q cwpolicy.Profile) bool { return q.Name == name })
		return nil
	})
}

func (o *Operator) edit(ctx context.Context, change func(cfg *cwpolicy.Configuration) error) (cwpolicy.Version, error) {
	cfg, row, err := o.read(ctx)
	if err != nil {
		return 0, err
	}
	if err = change(&cfg); err != nil {
		return 0, err
	}
	cfg.Version++
	if err = cfg.Validate(); err != nil {
		return 0, err
	}
	return cfg.Version, o.commit(ctx, cfg, row)
}

func (o *Operator) read(ctx context.Context) (cfg cwpolicy.Configuration, row cwport.Row, err error) {
	row, err = o.table.Read(ctx, cwwatch.KeyConfiguration)
	if err != nil || row.Version == 0 {
		return cfg, row, err
	}
	cfg, err = cwcodec.DecodeConfiguration(row.Value)
	return cfg, row, err
}

func (o *Operator) commit(ctx context.Context, cfg cwpolicy.Configuration, row cwport.Row) error {
	value, err := cwcodec.EncodeConfiguration(cfg)
	if err != nil {
		return err
	}
	txn := cwport.Txn{
		Checks: []cwport.Check{{Key: cwwatch.KeyConfiguration, Version: row.Version}},
		Puts:   []cwport.Put{{Key: cwwatch.KeyConfiguration, Value: value}},
	}
	if err = o.table.Commit(ctx, txn); err != nil {
		return err
	}
	o.changed()
	return nil
}
