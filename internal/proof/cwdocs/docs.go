// Package cwdocs reads pages of the docs folder, for tests that compare them with the code.
package cwdocs

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// Root returns the root folder of the module.
func Root() (path string, err error) {
	defer func() { err = eris.Wrap(err, "find module root") }()
	module, err := exec.Command("go", "env", "GOMOD").Output()
	return filepath.Dir(strings.TrimSpace(string(module))), err
}

// Section returns the text of a page between the first occurrence of from and the next occurrence of to. It fails if the page or one
// of the two texts is missing.
func Section(page, from, to string) (part string, err error) {
	defer func() { err = eris.Wrapf(err, "read page %s", page) }()
	root, err := Root()
	if err != nil {
		return "", err
	}
	text, err := os.ReadFile(filepath.Join(root, "docs", page))
	if err != nil {
		return "", err
	}
	_, rest, found := strings.Cut(string(text), from)
	if !found {
		return "", fmt.Errorf("text %q not found", from)
	}
	part, _, found = strings.Cut(rest, to)
	if !found {
		return "", fmt.Errorf("text %q not found after %q", to, from)
	}
	return part, nil
}

// Names returns what the first group of a pattern matches in a text, such as the names in a table, sorted and without duplicates.
func Names(pattern *regexp.Regexp, text string) (found []string) {
	for _, match := range pattern.FindAllStringSubmatch(text, -1) {
		found = append(found, match[1])
	}
	slices.Sort(found)
	return slices.Compact(found)
}
