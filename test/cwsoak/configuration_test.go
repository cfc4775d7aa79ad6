package cwsoak_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"currantward/internal/base/cwtimer"
	"currantward/internal/proof/cwprocess"
	"currantward/internal/proof/cwsoak"
)

// TestLargeConfigurationIsInForceOverNarrowLinks guards against hosts on narrow links that never get a configuration whose transfer takes
// longer than the timeout of a call to the store, and against ones that fall behind where it takes longer than the time in which a change
// must be in force.
func TestLargeConfigurationIsInForceOverNarrowLinks(t *testing.T) {
	cases := []struct {
		name string
		run  cwsoak.ConfigurationRun
	}{
		{"a transfer takes longer than the timeout of a call", cwsoak.ConfigurationRun{Nodes: 5, NarrowNodes: 3, Queues: 9000, Changes: 4, Pause: 3 * time.Second}},
		{"a transfer takes longer than the time between changes", cwsoak.ConfigurationRun{Nodes: 5, NarrowNodes: 3, Queues: 9000, Changes: 8, Pause: 700 * time.Millisecond}},
		{"every link is narrow", cwsoak.ConfigurationRun{Nodes: 3, NarrowNodes: 3, Queues: 4000, Changes: 6, Pause: 700 * time.Millisecond}},
	}
	is := is.New(t)
	programs, err := cwprocess.Build(t.TempDir())
	is.NoErr(err)
	timer, stop := cwtimer.New()
	defer stop()
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			violations, err := cwsoak.RunConfigurationChanges(tc.run, programs, timer, t.TempDir(), t.TempDir())
			is.NoErr(err)
			is.Equal(violations, nil)
		})
	}
}
