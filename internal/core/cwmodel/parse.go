package cwmodel

import (
	"slices"

	"currantward/internal/base/cwfault"
)

// ParseKind returns the kind named s, or an error if there is none.
func ParseKind(s string) (Kind, error) {
	return parse("kind", s, []Kind{KindRequest, KindBatch, KindGang, KindService})
}

// ParseClass returns the class named s, or an error if there is none.
func ParseClass(s string) (Class, error) { return parse("class", s, Classes()) }

// ParseOutcome returns the outcome named s, or an error if there is none.
func ParseOutcome(s string) (Outcome, error) { return parse("outcome", s, Outcomes()) }

// ParseEndKind returns the kind of end named s, or an error if there is none.
func ParseEndKind(s string) (EndKind, error) {
	return parse("end", s, []EndKind{EndDone, EndFailed, EndTransient, EndStopped, EndCheckpointed, EndLeaseExpired, EndNotStarted})
}

// ParseHostState returns the host state named s, or an error if there is none.
func ParseHostState(s string) (HostState, error) {
	return parse("host state", s, []HostState{HostLive, HostLeaving})
}

// ParseHostRole returns the host role named s, or an error if there is none.
func ParseHostRole(s string) (HostRole, error) {
	return parse("host role", s, []HostRole{RoleWorker, RoleEntryHost})
}

// parse returns the known value named s, or an error that names what was expected.
func parse[E ~string](what, s string, known []E) (E, error) {
	if slices.Contains(known, E(s)) {
		return E(s), nil
	}
	return "", cwfault.New(cwfault.Invalid, "unknown %s %q", what, s)
}
