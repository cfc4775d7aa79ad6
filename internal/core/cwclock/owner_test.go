package cwclock

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestBoundsOfFormerOwners guards against a task that runs twice because the bound of an earlier owner is taken for that of a later one, and
// against a wait that grows with the number of owners.
func TestBoundsOfFormerOwners(t *testing.T) {
	now := time.Unix(1000, 0)
	at := func(seconds int) time.Time { return now.Add(time.Duration(seconds) * time.Second) }
	cases := []struct {
		name     string
		list     FormerOwners
		next     FormerOwner
		term     int
		expected time.Time // of the term's owner; zero: not known
	}{
		{"the last owner", nil, FormerOwner{3, at(20)}, 3, at(20)},
		{"one before the list", nil, FormerOwner{3, at(20)}, 1, at(20)},
		{"an owner before the last one", FormerOwners{{2, at(5)}}, FormerOwner{3, at(20)}, 2, at(5)},
		{"an owner whose bound has passed", FormerOwners{{1, at(-9)}, {2, at(-5)}}, FormerOwner{3, at(20)}, 1, at(-5)},
		{"an owner of the same term as the last one", FormerOwners{{3, at(5)}}, FormerOwner{3, at(20)}, 3, at(20)},
		{"a later owner", nil, FormerOwner{3, at(20)}, 4, time.Time{}},
		{"an owner of an unknown term", nil, FormerOwner{3, at(20)}, 0, time.Time{}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			expiry, ok := tc.list.With(tc.next, now).CallsExpiry(tc.term)
			is.Equal(expiry, tc.expected)
			is.Equal(ok, !tc.expected.IsZero())
		})
	}
	is := is.New(t)
	var list FormerOwners
	for term := range 5 * maxFormerOwners {
		list = list.With(FormerOwner{term + 1, at(term + 1)}, now)
	}
	is.Equal(len(list), maxFormerOwners)
	expiry, _ := list.CallsExpiry(1)
	is.True(!expiry.Before(at(1)))
}
