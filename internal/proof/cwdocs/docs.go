// Package cwdocs reads the pages of docs for tests that compare them with the code.
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

// Root returns the folder of the module.
func Root() (path string, err error) {
	defer func() { err = eris.Wrap(err, "find the module") }()
	module, err := exec.Command("go", "env", "GOMOD").Output()
	return filepath.Dir(strings.TrimSpace(string(module))), err
}

// Section returns the part of a page between two texts, the first of them looked for from the start of the page on. An error
// says that the page or one of the texts is not there.
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
		return "", fmt.Errorf("no %q", from)
	}
	part, _, found = strings.Cut(rest, to)
	if !found {
		return "", fmt.Errorf("no %q after %q", to, from)
	}
	return part, nil
}

// Names returns the first group of each match, sorted, each once.
func Names(pattern *regexp.Regexp, text string) (found []string) {
	for _, match := range pattern.FindAllStringSubmatch(text, -1) {
		found = append(found, match[1])
	}
	slices.Sort(found)
	return slices.Compact(found)
}
