package cwcellowner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"currantward/internal/core/cwcell"
)

// TestOrderOfQuestions holds which question goes to the next free host: renewals keep room waiting, and a late job's question
// must not hold up one that can still be in time.
func TestOrderOfQuestions(t *testing.T) {
	cases := []struct {
		name          string
		first, second asked
	}{
		{
			"a renewal before a new question",
			asked{question: cwcell.AdviceRequest{ID: 2, Priority: 1, Renewal: true}, late: true}, asked{question: cwcell.AdviceRequest{ID: 1}},
		},
		{
			"in time before late",
			asked{question: cwcell.AdviceRequest{ID: 2, Priority: 1}}, asked{question: cwcell.AdviceRequest{ID: 1}, late: true},
		},
		{
			"urgent before the others",
			asked{question: cwcell.AdviceRequest{ID: 2}}, asked{question: cwcell.AdviceRequest{ID: 1, Priority: 1}},
		},
		{
			"older before newer",
			asked{question: cwcell.AdviceRequest{ID: 1}}, asked{question: cwcell.AdviceRequest{ID: 2}},
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			a := newAdvisers(&session{})
			a.add(&tc.second)
			a.add(&tc.first)
			is.Equal(a.short.Min(), &tc.first)
		})
	}
}

// TestLongQuestionsWaitApart holds that questions which keep a host for long leave the short ones a way.
func TestLongQuestionsWaitApart(t *testing.T) {
	is := is.New(t)
	a := newAdvisers(&session{})
	a.add(&asked{question: cwcell.AdviceRequest{ID: 1, Cost: longQuestion}})
	a.add(&asked{question: cwcell.AdviceRequest{ID: 2, Cost: longQuestion - time.Millisecond}})
	is.Equal(a.short.Len(), 1)
	is.Equal(a.long.Len(), 1)
}
