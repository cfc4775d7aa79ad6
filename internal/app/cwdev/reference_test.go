package cwdev_test

import (
	"context"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"currantward/internal/adapter/cwadmin"
	"currantward/internal/adapter/cwfront"
	"currantward/internal/base/cwhttp"
)

// TestOperationsPageListsEveryMetric compares the page with what a running entry host publishes.
func TestOperationsPageListsEveryMetric(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t)
	client, stop := cwhttp.NewClient(cwhttp.DefaultClientOptions())
	defer stop()
	_, _, err := client.Do(context.Background(), "POST", d.Entry.Callers, cwfront.PathRequests, []byte(`{"profile":"diagnostics","team":"riders"}`))
	is.NoErr(err)
	_, body, err := client.Do(context.Background(), "GET", d.Entry.Operators, cwadmin.PathMetrics, nil)
	is.NoErr(err)
	published := names(regexp.MustCompile(`(?m)^# TYPE (currantward_\w+)`), string(body))
	listed := names(regexp.MustCompile("`(currantward_\\w+)`"), section(t, "## Metrics", "## Settings"))
	is.Equal(listed, published)
}

// TestOperationsPageListsEveryAlarm compares the page with the warnings and errors in the code.
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
	logged := names(regexp.MustCompile(`\.(?:Warn|Error)\("([a-z0-9-]+)"\)`), source.String())
	listed := names(regexp.MustCompile("(?m)^\\| `([a-z0-9-]+)` \\|"), section(t, "## Alarms", "## Metrics"))
	is.Equal(listed, logged)
}

// names returns the first group of each match, sorted, each once.
func names(pattern *regexp.Regexp, text string) (found []string) {
	for _, match := range pattern.FindAllStringSubmatch(text, -1) {
		found = append(found, match[1])
	}
	slices.Sort(found)
	return slices.Compact(found)
}

// section returns the part of the operators' page between two headings.
func section(t *testing.T, from, to string) string {
	t.Helper()
	page, err := os.ReadFile(filepath.Join("..", "..", "..", "docs", "OPERATIONS.md"))
	is.New(t).NoErr(err)
	_, rest, found := strings.Cut(string(page), from)
	is.New(t).True(found)
	part, _, _ := strings.Cut(rest, to)
	return part
}
