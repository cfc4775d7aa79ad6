package cwcommand

import (
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"os"

	"github.com/valyala/fasthttp"

	"currantward/internal/adapter/cwadmin"
	"currantward/internal/adapter/cwcodec"
	"currantward/internal/base/cwfault"
)

// profileArgs are the operations on profiles.
type profileArgs struct {
	List   *listProfilesArgs `arg:"subcommand:list" help:"print all profiles"`
	Get    *nameArgs         `arg:"subcommand:get" help:"print one profile"`
	Put    *fileArgs         `arg:"subcommand:put" help:"add or replace one profile"`
	Delete *nameArgs         `arg:"subcommand:delete" help:"remove one profile"`
}

type listProfilesArgs struct{ operatorArgs }

type nameArgs struct {
	Name string `arg:"positional,required" help:"name of the profile"`
	operatorArgs
}

type fileArgs struct {
	File string `arg:"positional,required" help:"JSON file, or - for standard input"`
	operatorArgs
}

type totalsArgs struct {
	Day    string `arg:"--day" help:"the day as 2006-01-02; today if left out"`
	Format string `arg:"--format" default:"csv" help:"csv or json"`
	operatorArgs
}

func (r *runtime) profile(a *profileArgs) error {
	switch {
	case a.List != nil:
		return r.listProfiles(a.List.Operators)
	case a.Get != nil:
		return r.print(a.Get.Operators, fasthttp.MethodGet, cwadmin.PathProfiles+a.Get.Name)
	case a.Put != nil:
		return r.putProfile(a.Put)
	case a.Delete != nil:
		return r.print(a.Delete.Operators, fasthttp.MethodDelete, cwadmin.PathProfiles+a.Delete.Name)
	}
	return cwfault.New(cwfault.Invalid, "profile: one of list, get, put and delete is needed")
}

func (r *runtime) listProfiles(addr netip.AddrPort) error {
	var cfg cwcodec.Configuration
	if err := r.call(addr, fasthttp.MethodGet, cwadmin.PathConfiguration, nil, &cfg); err != nil {
		return err
	}
	encoder := json.NewEncoder(r.out)
	for _, p := range cfg.Profiles {
		if err := encoder.Encode(p); err != nil {
			return err
		}
	}
	return nil
}

func (r *runtime) putProfile(a *fileArgs) error {
	data, err := readFile(a.File)
	if err != nil {
		return err
	}
	profile, err := cwcodec.DecodeProfile(data)
	if err != nil {
		return err
	}
	var answer cwadmin.VersionAnswer
	if err = r.call(a.Operators, fasthttp.MethodPut, cwadmin.PathProfiles+string(profile.Name), cwcodec.ProfileOf(profile), &answer); err != nil {
		return err
	}
	fmt.Fprintf(r.out, "{\"version\":%d}\n", answer.Version)
	return nil
}

// importConfiguration commits the configuration of a file on top of the present version.
func (r *runtime) importConfiguration(a *fileArgs) error {
	data, err := readFile(a.File)
	if err != nil {
		return err
	}
	cfg, err := cwcodec.DecodeConfiguration(data)
	if err != nil {
		return err
	}
	var present cwcodec.Configuration
	if err = r.call(a.Operators, fasthttp.MethodGet, cwadmin.PathConfiguration, nil, &present); err != nil {
		return err
	}
	document := cwcodec.ConfigurationOf(cfg)
	document.Version = present.Version + 1
	if err = r.call(a.Operators, fasthttp.MethodPut, cwadmin.PathConfiguration, document, nil); err != nil {
		return err
	}
	fmt.Fprintf(r.out, "{\"version\":%d}\n", document.Version)
	return nil
}

func (r *runtime) totals(a *totalsArgs) error {
	path := cwadmin.PathTotals + "?day=" + a.Day
	switch a.Format {
	case "json":
		return r.print(a.Operators, fasthttp.MethodGet, path)
	case "csv":
	default:
		return cwfault.New(cwfault.Invalid, "format: %q is neither csv nor json", a.Format)
	}
	var totals cwcodec.Totals
	if err := r.call(a.Operators, fasthttp.MethodGet, path, nil, &totals); err != nil {
		return err
	}
	_, err := r.out.Write(cwadmin.TotalsCSV(totals.Core()))
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
