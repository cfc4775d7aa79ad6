package cwcommand

import (
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"

	"github.com/valyala/fasthttp"

	"currantward/internal/adapter/cwadmin"
	"currantward/internal/adapter/cwcodec"
	"currantward/internal/base/cwfault"
)

// tokenVariable is the environment variable that holds an operator's token.
const tokenVariable = "CURRANTWARD_TOKEN"

// operatorArgs name the operators' listener and the token for it.
type operatorArgs struct {
	Operators netip.AddrPort `arg:"--operators" default:"127.0.0.1:8081" help:"address of the entry host's listener for operators"`
	TokenFile string         `arg:"--token-file" help:"file that holds the operator's token; else the environment variable CURRANTWARD_TOKEN"`
}

// token returns the operator's token, or "" if none is given.
func (a operatorArgs) token() (string, error) {
	if a.TokenFile == "" {
		return strings.TrimSpace(os.Getenv(tokenVariable)), nil
	}
	data, err := readFile(a.TokenFile)
	return strings.TrimSpace(string(data)), err
}

// profileArgs are the subcommands of profile. All but the chosen one are nil.
type profileArgs struct {
	List   *operatorArgs   `arg:"subcommand:list" help:"print all profiles"`
	Get    *getArgs        `arg:"subcommand:get" help:"print one profile"`
	Put    *changeFileArgs `arg:"subcommand:put" help:"add or replace one profile"`
	Delete *changeNameArgs `arg:"subcommand:delete" help:"remove one profile; what was accepted before goes on"`
}

// teamArgs are the subcommands of team. All but the chosen one are nil.
type teamArgs struct {
	List   *operatorArgs   `arg:"subcommand:list" help:"print all teams"`
	Get    *getArgs        `arg:"subcommand:get" help:"print one team"`
	Put    *changeFileArgs `arg:"subcommand:put" help:"add or replace one team with its quota"`
	Delete *changeNameArgs `arg:"subcommand:delete" help:"remove one team; what was accepted before goes on"`
}

// getArgs name the profile or team to print.
type getArgs struct {
	Name string `arg:"positional,required" help:"its name"`
	operatorArgs
}

// changeFileArgs name the file with a new profile, team or configuration.
type changeFileArgs struct {
	File string `arg:"positional,required" help:"JSON file, or - for standard input"`
	changeArgs
}

// changeNameArgs name the profile or team to delete.
type changeNameArgs struct {
	Name string `arg:"positional,required" help:"its name"`
	changeArgs
}

type totalsArgs struct {
	Day    string `arg:"--day" help:"the day as 2006-01-02; today if left out"`
	Format string `arg:"--format" default:"csv" help:"csv or json"`
	operatorArgs
}

// profile runs the chosen subcommand of profile: list, get, put or delete.
func (r *commandRunner) profile(a *profileArgs) error {
	switch {
	case a.List != nil:
		return r.list(*a.List, func(cfg cwcodec.Configuration, encode func(any) error) error { return encodeAll(cfg.Profiles, encode) })
	case a.Get != nil:
		return r.callAdminAndPrint(a.Get.operatorArgs, fasthttp.MethodGet, cwadmin.PathProfiles+a.Get.Name)
	case a.Put != nil:
		return r.putProfile(a.Put)
	case a.Delete != nil:
		return r.submitChange(a.Delete.changeArgs, fasthttp.MethodDelete, cwadmin.PathProfiles+a.Delete.Name, nil)
	}
	return cwfault.New(cwfault.Invalid, "profile: one of list, get, put and delete is needed")
}

// team runs the chosen subcommand of team: list, get, put or delete.
func (r *commandRunner) team(a *teamArgs) error {
	switch {
	case a.List != nil:
		return r.list(*a.List, func(cfg cwcodec.Configuration, encode func(any) error) error { return encodeAll(cfg.Teams, encode) })
	case a.Get != nil:
		return r.callAdminAndPrint(a.Get.operatorArgs, fasthttp.MethodGet, cwadmin.PathTeams+a.Get.Name)
	case a.Put != nil:
		return r.putTeam(a.Put)
	case a.Delete != nil:
		return r.submitChange(a.Delete.changeArgs, fasthttp.MethodDelete, cwadmin.PathTeams+a.Delete.Name, nil)
	}
	return cwfault.New(cwfault.Invalid, "team: one of list, get, put and delete is needed")
}

// list fetches the configuration and prints one line of JSON for each of its profiles or teams. encodeItems selects them and passes each one to
// encode.
func (r *commandRunner) list(a operatorArgs, encodeItems func(cfg cwcodec.Configuration, encode func(any) error) error) error {
	var cfg cwcodec.Configuration
	if err := r.callAdmin(a, fasthttp.MethodGet, cwadmin.PathConfiguration, nil, &cfg); err != nil {
		return err
	}
	return encodeItems(cfg, json.NewEncoder(r.stdout).Encode)
}

// encodeAll encodes the items in their order and stops at the first error.
func encodeAll[T any](items []T, encode func(any) error) error {
	for _, item := range items {
		if err := encode(item); err != nil {
			return err
		}
	}
	return nil
}

// putProfile reads a profile from a file and adds it to the configuration through the operators' API, or replaces the one with its name.
func (r *commandRunner) putProfile(a *changeFileArgs) error {
	data, err := readFile(a.File)
	if err != nil {
		return err
	}
	profile, err := cwcodec.DecodeProfile(data)
	if err != nil {
		return err
	}
	return r.submitChange(a.changeArgs, fasthttp.MethodPut, cwadmin.PathProfiles+string(profile.Name), cwcodec.ProfileOf(profile))
}

// putTeam adds or replaces the team in a file.
func (r *commandRunner) putTeam(a *changeFileArgs) error {
	data, err := readFile(a.File)
	if err != nil {
		return err
	}
	team, err := cwcodec.DecodeTeam(data)
	if err != nil {
		return err
	}
	return r.submitChange(a.changeArgs, fasthttp.MethodPut, cwadmin.PathTeams+string(team.Name), cwcodec.TeamOf(team))
}

// totals prints the totals of one day as CSV or JSON. Hosts whose last responses may be missing from them are listed on standard error.
func (r *commandRunner) totals(a *totalsArgs) error {
	if a.Format != "csv" && a.Format != "json" {
		return cwfault.New(cwfault.Invalid, "format: %q is neither csv nor json", a.Format)
	}
	var totals cwcodec.Totals
	if err := r.callAdmin(a.operatorArgs, fasthttp.MethodGet, cwadmin.PathTotals+"?"+cwadmin.ArgDay+"="+a.Day, nil, &totals); err != nil {
		return err
	}
	for _, host := range totals.Incomplete {
		fmt.Fprintf(r.stderr, "incomplete host=%s since=%s\n", host.Host, host.Since.Format("2006-01-02T15:04:05.000Z07:00"))
	}
	if a.Format == "json" {
		return json.NewEncoder(r.stdout).Encode(totals)
	}
	_, err := r.stdout.Write(totals.CSV())
	return err
}

// readFile reads a file, or standard input for "-".
func readFile(path string) (data []byte, err error) {
	if path == "-" {
		data, err = io.ReadAll(os.Stdin)
	} else {
		data, err = os.ReadFile(path)
	}
	if err != nil {
		return nil, cwfault.New(cwfault.Invalid, "%v", err)
	}
	return data, nil
}
