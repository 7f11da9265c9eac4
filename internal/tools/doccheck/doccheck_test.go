package doccheck

import (
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const root = "../../.."

// formerTests holds the names of tests of earlier builds that a page mentions on purpose.
var formerTests = map[string]bool{"TestFinish": true}

var (
	quoted     = regexp.MustCompile("`([^`\n]+)`")
	sourcePath = regexp.MustCompile(`^(?:\./)?((?:internal|coord|cmd|deploy|docs|experiments|cluster|dispatcher|shared)/[\w./{},-]+)$`)
	identifier = regexp.MustCompile(`^([a-z]\w+)\.([A-Z]\w+)(?:\.\w+)*(?:\(\))?$`)
	testName   = regexp.MustCompile(`^((?:Test|Fuzz|Benchmark)[A-Z]\w*)(?:/.*)?$`)
	link       = regexp.MustCompile(`\]\(([^)#\s]+)(?:#[^)]*)?\)`)
)

// pages returns the paths of all pages that are checked. The changelog is not among them, since it names
// what earlier versions had.
func pages(t *testing.T) []string {
	t.Helper()
	found, err := filepath.Glob(filepath.Join(root, "docs", "*.md"))
	require.NoError(t, err)
	require.NotEmpty(t, found)
	return append(found, filepath.Join(root, "README.md"), filepath.Join(root, "CONTRIBUTING.md"))
}

// sources returns the text of each package's files, by the package's name.
func sources(t *testing.T) map[string]string {
	t.Helper()
	byPackage := map[string]string{}
	for _, tree := range []string{"internal", "coord", "cmd", "deploy"} {
		err := filepath.WalkDir(filepath.Join(root, tree), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || filepath.Ext(path) != ".go" {
				return err
			}
			content, err := os.ReadFile(path)
			byPackage[filepath.Base(filepath.Dir(path))] += string(content)
			return err
		})
		require.NoError(t, err)
	}
	return byPackage
}

// exists reports whether a path that a page names exists. A page may omit internal/, list alternatives in
// braces, and end a path with "..." for everything below it.
func exists(name string) bool {
	name = strings.TrimRight(strings.TrimSuffix(strings.TrimSuffix(name, "..."), "..."), "/.")
	if before, rest, ok := strings.Cut(name, "{"); ok {
		inside, after, _ := strings.Cut(rest, "}")
		for choice := range strings.SplitSeq(inside, ",") {
			if !exists(before + choice + after) {
				return false
			}
		}
		return true
	}
	for _, at := range []string{name, filepath.Join("internal", name)} {
		if _, err := os.Stat(filepath.Join(root, at)); err == nil {
			return true
		}
	}
	return false
}

// source is the source code that the pages are checked against.
type source struct {
	packages map[string]string // text by the package's name
	all      string            // text of all packages
}

// missing returns a message if a quoted name does not exist in the source. It returns "" if the name
// exists, or if the text is not a name in the source.
func (s *source) missing(name string) string {
	if path := sourcePath.FindStringSubmatch(name); path != nil && !exists(path[1]) {
		return "no such file or folder: " + name
	}
	if test := testName.FindStringSubmatch(name); test != nil && !strings.Contains(s.all, "func "+test[1]+"(") && !formerTests[test[1]] {
		return "no such test: " + name
	}
	parts := identifier.FindStringSubmatch(name)
	if parts == nil || s.packages[parts[1]] == "" {
		return ""
	}
	if !regexp.MustCompile(`\b` + parts[2] + `\b`).MatchString(s.packages[parts[1]]) {
		return "no such identifier: " + name
	}
	return ""
}

func TestPagesNameWhatExists(t *testing.T) {
	checked := source{packages: sources(t)}
	checked.all = strings.Join(slices.Collect(maps.Values(checked.packages)), "\n")
	for _, page := range pages(t) {
		t.Run(filepath.Base(page), func(t *testing.T) {
			content, err := os.ReadFile(page)
			require.NoError(t, err)
			for _, match := range quoted.FindAllStringSubmatch(string(content), -1) {
				if missing := checked.missing(match[1]); missing != "" {
					t.Error(missing)
				}
			}
			for _, match := range link.FindAllStringSubmatch(string(content), -1) {
				if strings.Contains(match[1], "://") {
					continue
				}
				if _, err := os.Stat(filepath.Join(filepath.Dir(page), match[1])); err != nil {
					t.Errorf("the link leads nowhere: %s", match[1])
				}
			}
		})
	}
}
