package cwdeployment_test

import (
	"context"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"currantward/internal/adapter/cwadmin"
	"currantward/internal/adapter/cwfront"
	"currantward/internal/base/cwhttp"
	"currantward/internal/proof/cwdocs"
)

// TestOperationsPageListsEveryMetric asserts that the page lists exactly the metrics that a running entry host publishes.
func TestOperationsPageListsEveryMetric(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t)
	client, stop := cwhttp.NewClient(cwhttp.DefaultClientOptions())
	defer stop()
	_, _, err := client.Do(context.Background(), "POST", d.EntryHost.CallersAddr, cwfront.PathRequests, []byte(`{"profile":"diagnostics","team":"riders"}`))
	is.NoErr(err)
	_, body, err := client.Do(context.Background(), "GET", d.EntryHost.OperatorsAddr, cwadmin.PathMetrics, nil)
	is.NoErr(err)
	metrics, err := cwdocs.Section("OPERATIONS.md", "## Metrics", "## Settings")
	is.NoErr(err)
	published := cwdocs.Names(regexp.MustCompile(`(?m)^# TYPE (currantward_\w+)`), string(body))
	listed := cwdocs.Names(regexp.MustCompile("`(currantward_\\w+)`"), metrics)
	is.Equal(listed, published)
}

// TestOperationsPageListsEveryAlarm asserts that the page lists exactly the warnings and errors that the code logs.
func TestOperationsPageListsEveryAlarm(t *testing.T) {
	is := is.New(t)
	var source strings.Builder
	err := filepath.WalkDir(filepath.Join("..", ".."), func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || strings.Contains(path, "standin") {
			return err
		}
		data, err := os.ReadFile(path)
		source.Write(data)
		return err
	})
	is.NoErr(err)
	alarms, err := cwdocs.Section("OPERATIONS.md", "## Alarms", "## Metrics")
	is.NoErr(err)
	logged := cwdocs.Names(regexp.MustCompile(`\.(?:Warn|Error)\("([a-z0-9-]+)"\)`), source.String())
	listed := cwdocs.Names(regexp.MustCompile("(?m)^\\| `([a-z0-9-]+)` \\|"), alarms)
	is.Equal(listed, logged)
}
