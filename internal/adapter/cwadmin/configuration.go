package cwadmin

import (
	"strconv"

	"currantward/internal/adapter/cwcodec"
	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwhttp"
	"currantward/internal/core/cwconfigchange"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwpolicy"
)

// Arguments in the query of a change.
const (
	ArgExpectVersion = "expect-version"
	ArgDryRun        = "dry-run"
	ArgChangeID      = "change-id"
	ArgFrom          = "from"
	ArgTo            = "to"
)

// maxChangeID is the length of the longest change ID.
const maxChangeID = 64

// ChangeResponse tells what became of a change.
type ChangeResponse struct {
	Version     uint64               `json:"version"`
	ChangeID    string               `json:"change-id"`
	DryRun      bool                 `json:"dry-run,omitempty"`
	Differences []cwcodec.Difference `json:"differences"`
}

// change commits one edit under the terms of the query.
func (a *admin) change(c call, edit cwconfigchange.Edit, err error) {
	if err != nil {
		cwhttp.WriteError(c.RequestCtx, err)
		return
	}
	terms, err := termsOf(c)
	if err != nil {
		cwhttp.WriteError(c.RequestCtx, err)
		return
	}
	a.commit(c, edit, terms)
}

func (a *admin) commit(c call, edit cwconfigchange.Edit, terms cwconfigchange.Options) {
	accepted, err := a.opts.Change(c, edit, terms)
	respond(c, ChangeResponse{
		Version: uint64(accepted.Version), ChangeID: string(accepted.Change), DryRun: accepted.DryRun,
		Differences: cwcodec.Diff(accepted.Before, accepted.After).Differences,
	}, err)
}

// termsOf parses the query and names every fault.
func termsOf(c call) (terms cwconfigchange.Options, err error) {
	var f cwpolicy.ValidationErrors
	terms = cwconfigchange.Options{Actor: c.who, Change: cwconfigchange.ID(c.QueryArgs().Peek(ArgChangeID))}
	f.Check(len(terms.Change) <= maxChangeID, ArgChangeID, "longer than %d characters", maxChangeID)
	if c.QueryArgs().Has(ArgExpectVersion) {
		version := versionOf(&f, c, ArgExpectVersion)
		terms.Expected = &version
	}
	if c.QueryArgs().Has(ArgDryRun) {
		terms.DryRun, err = strconv.ParseBool(string(c.QueryArgs().Peek(ArgDryRun)))
		f.Check(err == nil, ArgDryRun, "%q is neither true nor false", c.QueryArgs().Peek(ArgDryRun))
	}
	return terms, f.Err()
}

func versionOf(f *cwpolicy.ValidationErrors, c call, key string) cwpolicy.Version {
	text := string(c.QueryArgs().Peek(key))
	n, err := strconv.ParseUint(text, 10, 64)
	f.Check(err == nil, key, "%q is not a version", text)
	return cwpolicy.Version(n)
}

func (a *admin) getConfiguration(c call) {
	cfg, err := a.opts.Configuration(c)
	respond(c, cwcodec.ConfigurationOf(cfg), err)
}

// putConfiguration replaces everything; a version in the document is one above the expected one.
func (a *admin) putConfiguration(c call) {
	cfg, err := cwcodec.DecodeConfiguration(c.PostBody())
	if err != nil {
		cwhttp.WriteError(c.RequestCtx, err)
		return
	}
	terms, err := termsOf(c)
	if err != nil {
		cwhttp.WriteError(c.RequestCtx, err)
		return
	}
	if terms.Expected == nil && cfg.Version > 0 {
		expected := cfg.Version - 1
		terms.Expected = &expected
	}
	a.commit(c, cwconfigchange.Replace(cfg), terms)
}

func (a *admin) getHistory(c call) {
	records, err := a.opts.History(c)
	respond(c, cwcodec.HistoryOf(records), err)
}

func (a *admin) getDiff(c call) {
	var f cwpolicy.ValidationErrors
	from, to := versionOf(&f, c, ArgFrom), versionOf(&f, c, ArgTo)
	if err := f.Err(); err != nil {
		cwhttp.WriteError(c.RequestCtx, err)
		return
	}
	before, after, err := a.opts.Versions(c, from, to)
	respond(c, cwcodec.Diff(before, after), err)
}

func (a *admin) getProfile(c call) {
	cfg, err := a.opts.Configuration(c)
	profile, ok := cfg.Profile(cwmodel.ProfileName(c.name))
	if err == nil && !ok {
		err = cwfault.New(cwfault.NotFound, "no profile %q", c.name)
	}
	respond(c, cwcodec.ProfileOf(profile), err)
}

func (a *admin) putProfile(c call) {
	profile, err := cwcodec.DecodeProfile(c.PostBody())
	if err == nil && string(profile.Name) != c.name {
		err = cwfault.New(cwfault.Invalid, "name: %q is not the %q of the path", profile.Name, c.name)
	}
	a.change(c, cwconfigchange.PutProfile(profile), err)
}

func (a *admin) deleteProfile(c call) {
	a.change(c, cwconfigchange.DeleteProfile(cwmodel.ProfileName(c.name)), nil)
}

func (a *admin) getTeam(c call) {
	cfg, err := a.opts.Configuration(c)
	team, ok := cfg.Team(cwmodel.TeamName(c.name))
	if err == nil && !ok {
		err = cwfault.New(cwfault.NotFound, "no team %q", c.name)
	}
	respond(c, cwcodec.TeamOf(team), err)
}

func (a *admin) putTeam(c call) {
	team, err := cwcodec.DecodeTeam(c.PostBody())
	if err == nil && string(team.Name) != c.name {
		err = cwfault.New(cwfault.Invalid, "name: %q is not the %q of the path", team.Name, c.name)
	}
	a.change(c, cwconfigchange.PutTeam(team), err)
}

func (a *admin) deleteTeam(c call) {
	a.change(c, cwconfigchange.DeleteTeam(cwmodel.TeamName(c.name)), nil)
}
