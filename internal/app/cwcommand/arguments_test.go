package cwcommand

import (
	"net/netip"
	"testing"

	"github.com/alexflint/go-arg"
	"github.com/matryer/is"
)

// TestAddressesHaveDefaults asserts that each subcommand that calls an entry host has the default address of its listener, also where
// the option is in an embedded struct or two levels of subcommands down.
func TestAddressesHaveDefaults(t *testing.T) {
	callers, operators := netip.MustParseAddrPort("127.0.0.1:8080"), netip.MustParseAddrPort("127.0.0.1:8081")
	cases := []struct {
		args []string
		got  func(a *arguments) netip.AddrPort
		want netip.AddrPort
	}{
		{[]string{"submit", "f"}, func(a *arguments) netip.AddrPort { return a.Submit.Callers }, callers},
		{[]string{"job", "submit", "f"}, func(a *arguments) netip.AddrPort { return a.Job.Submit.Callers }, callers},
		{[]string{"job", "get", "j"}, func(a *arguments) netip.AddrPort { return a.Job.Get.Callers }, callers},
		{[]string{"job", "list", "t"}, func(a *arguments) netip.AddrPort { return a.Job.List.Callers }, callers},
		{[]string{"job", "cancel", "j"}, func(a *arguments) netip.AddrPort { return a.Job.Cancel.Callers }, callers},
		{[]string{"profile", "list"}, func(a *arguments) netip.AddrPort { return a.Profile.List.Operators }, operators},
		{[]string{"status"}, func(a *arguments) netip.AddrPort { return a.Status.Operators }, operators},
		{[]string{"totals"}, func(a *arguments) netip.AddrPort { return a.Totals.Operators }, operators},
	}
	for _, c := range cases {
		var a arguments
		parser, err := arg.NewParser(arg.Config{}, &a)
		is.New(t).NoErr(err)
		is.New(t).NoErr(parser.Parse(c.args))
		is.New(t).Equal(c.got(&a), c.want)
	}
}
