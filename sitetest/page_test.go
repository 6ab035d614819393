package sitetest

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const page = "../docs/failures.md"

// allCases returns the full names of all cases of this package.
func allCases() map[string]bool {
	names := map[string]bool{}
	add := func(test string, lists ...[]failure) {
		for _, cases := range lists {
			for _, one := range cases {
				names[test+"/"+strings.ReplaceAll(one.name, " ", "_")] = true
			}
		}
	}
	add("TestSingleFailures", processFailures(), storeFailures(), networkFailures(), workFailures(), operatorChanges())
	add("TestPairsOfFailures", pairsWithKill(), pairsWithStore(), pairsWithPartition())
	return names
}

// sources returns the Go files of the module by path.
func sources(t *testing.T) map[string]string {
	files := map[string]string{}
	paths, err := filepath.Glob("../*/*.go")
	assert.NilError(t, err)
	for _, path := range paths {
		text, err := os.ReadFile(path)
		assert.NilError(t, err)
		files[path] = string(text)
	}
	return files
}

// TestFailuresPage guards against a docs/failures.md that names tests, files or metrics that do not exist, leaves out a
// case, or has an empty table cell. It also checks the metrics that pages of docs/operations name.
func TestFailuresPage(t *testing.T) {
	t.Parallel()
	raw, err := os.ReadFile(page)
	assert.NilError(t, err)
	text := string(raw)
	checkTests(t, text)
	checkMetrics(t, text)
	for _, match := range regexp.MustCompile("`([a-z/]+_?[a-z]*\\.go)`").FindAllStringSubmatch(text, -1) {
		_, err := os.Stat(filepath.Join("..", match[1]))
		assert.NilError(t, err)
	}
	for _, line := range strings.Split(text, "\n") {
		if strings.HasPrefix(line, "|") {
			assert.Assert(t, !strings.Contains(strings.ReplaceAll(line, " ", ""), "||"), "empty table cell in %q", line)
		}
	}
}

func checkTests(t *testing.T, text string) {
	cases := allCases()
	all := ""
	for path, source := range sources(t) {
		if strings.HasSuffix(path, "_test.go") {
			all += source
		}
	}
	named := regexp.MustCompile("`(Test[A-Z][^`]*)`").FindAllStringSubmatch(text, -1)
	assert.Assert(t, len(named) >= len(cases))
	for _, match := range named {
		if strings.Contains(match[1], "/") {
			assert.Assert(t, cases[match[1]], "%s names the unknown case %s", page, match[1])
			delete(cases, match[1])
			continue
		}
		assert.Assert(t, strings.Contains(all, "func "+match[1]+"("), "%s names the unknown test %s", page, match[1])
	}
	assert.Assert(t, len(cases) == 0, "%s leaves out %v", page, cases)
}

// checkMetrics looks for the subsystem and the name of each metric in one source file.
func checkMetrics(t *testing.T, text string) {
	pages, err := filepath.Glob("../docs/operations/c*.md")
	assert.NilError(t, err)
	for _, path := range pages {
		raw, err := os.ReadFile(path)
		assert.NilError(t, err)
		text += string(raw)
	}
	files := sources(t)
	metrics := regexp.MustCompile(`siskin_([a-z]+)_([a-z_]+)`).FindAllStringSubmatch(text, -1)
	assert.Assert(t, len(metrics) > 0)
	for _, match := range metrics {
		found := false
		for path, source := range files {
			found = found || !strings.HasSuffix(path, "_test.go") &&
				strings.Contains(source, `"`+match[1]+`"`) && strings.Contains(source, `"`+match[2]+`"`)
		}
		assert.Assert(t, found, "metric %s does not exist", match[0])
	}
}
