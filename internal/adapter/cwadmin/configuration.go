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

// Query parameters of configuration requests.
const (
	ArgExpectVersion = "expect-version"
	ArgDryRun        = "dry-run"
	ArgChangeID      = "change-id"
	ArgFrom          = "from"
	ArgTo            = "to"
)

// maxChangeID is the maximum length of a change ID, in bytes.
const maxChangeID = 64

// ChangeResponse is the body of the response to a change of the configuration.
type ChangeResponse struct {
	Version     uint64               `json:"version"`
	ChangeID    string               `json:"change-id"`
	DryRun      bool                 `json:"dry-run,omitempty"` // the change was checked but not committed
	Differences []cwcodec.Difference `json:"differences"`
}

// applyEdit commits one edit with the options in the query, or responds with err if the edit could not be decoded.
func (a *admin) applyEdit(c call, edit cwconfigchange.Edit, err error) {
	if err != nil {
		cwhttp.WriteError(c.RequestCtx, err)
		return
	}
	options, err := changeOptions(c)
	if err != nil {
		cwhttp.WriteError(c.RequestCtx, err)
		return
	}
	a.commit(c, edit, options)
}

// commit commits one edit, or only checks it in a dry run, and responds with the differences.
func (a *admin) commit(c call, edit cwconfigchange.Edit, options cwconfigchange.Options) {
	result, err := a.opts.Change(c, edit, options)
	respond(c, ChangeResponse{
		Version: uint64(result.Version), ChangeID: string(result.Change), DryRun: result.DryRun,
		Differences: cwcodec.Diff(result.Before, result.After).Differences,
	}, err)
}

// changeOptions parses the options of a change in the query. The error lists every invalid parameter.
func changeOptions(c call) (options cwconfigchange.Options, err error) {
	var errs cwpolicy.ValidationErrors
	options = cwconfigchange.Options{Actor: c.operator, Change: cwconfigchange.ID(c.QueryArgs().Peek(ArgChangeID))}
	errs.Check(len(options.Change) <= maxChangeID, ArgChangeID, "longer than %d characters", maxChangeID)
	if c.QueryArgs().Has(ArgExpectVersion) {
		version := parseVersion(&errs, c, ArgExpectVersion)
		options.Expected = &version
	}
	if c.QueryArgs().Has(ArgDryRun) {
		options.DryRun, err = strconv.ParseBool(string(c.QueryArgs().Peek(ArgDryRun)))
		errs.Check(err == nil, ArgDryRun, "%q is neither true nor false", c.QueryArgs().Peek(ArgDryRun))
	}
	return options, errs.Err()
}

// parseVersion parses a version in the query and adds an error to errs if it is malformed.
func parseVersion(errs *cwpolicy.ValidationErrors, c call, key string) cwpolicy.Version {
	text := string(c.QueryArgs().Peek(key))
	n, err := strconv.ParseUint(text, 10, 64)
	errs.Check(err == nil, key, "%q is not a version", text)
	return cwpolicy.Version(n)
}

func (a *admin) getConfiguration(c call) {
	cfg, err := a.opts.Configuration(c)
	respond(c, cwcodec.ConfigurationOf(cfg), err)
}

// putConfiguration replaces the whole configuration. If the query has no expect-version but the document has a version, the stored
// version must be one less than that.
func (a *admin) putConfiguration(c call) {
	cfg, err := cwcodec.DecodeConfiguration(c.PostBody())
	if err != nil {
		cwhttp.WriteError(c.RequestCtx, err)
		return
	}
	options, err := changeOptions(c)
	if err != nil {
		cwhttp.WriteError(c.RequestCtx, err)
		return
	}
	if options.Expected == nil && cfg.Version > 0 {
		expected := cfg.Version - 1
		options.Expected = &expected
	}
	a.commit(c, cwconfigchange.Replace(cfg), options)
}

func (a *admin) getHistory(c call) {
	records, err := a.opts.History(c)
	respond(c, cwcodec.HistoryOf(records), err)
}

func (a *admin) getDiff(c call) {
	var errs cwpolicy.ValidationErrors
	from, to := parseVersion(&errs, c, ArgFrom), parseVersion(&errs, c, ArgTo)
	if err := errs.Err(); err != nil {
		cwhttp.WriteError(c.RequestCtx, err)
		return
	}
	before, after, err := a.opts.Versions(c, from, to)
	respond(c, cwcodec.Diff(before, after), err)
}

func (a *admin) getProfile(c call) {
	cfg, err := a.opts.Configuration(c)
	profile, ok := cfg.Profile(cwmodel.ProfileName(c.arg))
	if err == nil && !ok {
		err = cwfault.New(cwfault.NotFound, "no profile %q", c.arg)
	}
	respond(c, cwcodec.ProfileOf(profile), err)
}

func (a *admin) putProfile(c call) {
	profile, err := cwcodec.DecodeProfile(c.PostBody())
	if err == nil && string(profile.Name) != c.arg {
		err = cwfault.New(cwfault.Invalid, "name: %q is not the %q of the path", profile.Name, c.arg)
	}
	a.applyEdit(c, cwconfigchange.PutProfile(profile), err)
}

func (a *admin) deleteProfile(c call) {
	a.applyEdit(c, cwconfigchange.DeleteProfile(cwmodel.ProfileName(c.arg)), nil)
}

func (a *admin) getTeam(c call) {
	cfg, err := a.opts.Configuration(c)
	team, ok := cfg.Team(cwmodel.TeamName(c.arg))
	if err == nil && !ok {
		err = cwfault.New(cwfault.NotFound, "no team %q", c.arg)
	}
	respond(c, cwcodec.TeamOf(team), err)
}

func (a *admin) putTeam(c call) {
	team, err := cwcodec.DecodeTeam(c.PostBody())
	if err == nil && string(team.Name) != c.arg {
		err = cwfault.New(cwfault.Invalid, "name: %q is not the %q of the path", team.Name, c.arg)
	}
	a.applyEdit(c, cwconfigchange.PutTeam(team), err)
}

func (a *admin) deleteTeam(c call) {
	a.applyEdit(c, cwconfigchange.DeleteTeam(cwmodel.TeamName(c.arg)), nil)
}
