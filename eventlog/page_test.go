package eventlog

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// eventNames returns the names of the event constants by value, read from events.go.
// It fails the test when two constants have the same value.
func eventNames(t *testing.T) map[Event]string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "events.go", nil, 0)
	assert.NilError(t, err)
	names := map[Event]string{}
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		kind, ok := spec.Type.(*ast.Ident)
		if !ok || kind.Name != "Event" {
			return true
		}
		for i, name := range spec.Names {
			number, err := strconv.Atoi(spec.Values[i].(*ast.BasicLit).Value)
			assert.NilError(t, err)
			other, duplicate := names[Event(number)]
			assert.Assert(t, !duplicate, "%s and %s have the number %d", name.Name, other, number)
			names[Event(number)] = name.Name
		}
		return true
	})
	return names
}

// Guards against event constants that are missing in the catalogue. They would be
// logged without text at level panic.
func TestEveryEventIsCatalogued(t *testing.T) {
	names := eventNames(t)
	for e, name := range names {
		assert.Assert(t, catalogue[e].text != "", "%s has no text", name)
	}
	assert.Equal(t, len(names), len(catalogue))
}

var pageRow = regexp.MustCompile(`(?m)^\| (MF\d{4}) \| (\w+) \| (\w+) \| (.+?) \| (.+?) \|$`)

// Guards against differences between docs/events.md and the catalogue: missing events,
// events that do not exist, and another name, level or text.
func TestPageListsTheCatalogue(t *testing.T) {
	page, err := os.ReadFile("../docs/events.md")
	assert.NilError(t, err)
	var want, got []string
	for e, name := range eventNames(t) {
		info := catalogue[e]
		want = append(want, fmt.Sprintf("| %s | %s | %s | %s |", e.Code(), name, info.level, info.text))
	}
	for _, row := range pageRow.FindAllStringSubmatch(string(page), -1) {
		got = append(got, fmt.Sprintf("| %s | %s | %s | %s |", row[1], row[2], row[3], row[4]))
	}
	slices.Sort(want)
	assert.DeepEqual(t, got, want)
	assert.Equal(t, strings.Count(string(page), "| MF"), len(want), "a row does not have five columns")
}

// Guards against documented events that no code logs. An event counts as logged when
// its constant is passed directly to Emit or EmitError in non-test code of the root
// module.
func TestEveryEventIsEmitted(t *testing.T) {
	emitted := map[string]bool{}
	for _, path := range sourceFiles(t) {
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		assert.NilError(t, err)
		collectEmitted(file, emitted)
	}
	var missing []string
	for e, name := range eventNames(t) {
		if !emitted[name] {
			missing = append(missing, e.Code()+" "+name)
		}
	}
	slices.Sort(missing)
	assert.Assert(t, len(missing) == 0, "never emitted: %s", strings.Join(missing, ", "))
}

// sourceFiles returns the non-test Go files of the root module outside this package.
func sourceFiles(t *testing.T) []string {
	t.Helper()
	var files []string
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() {
			return skipDirectory(path, entry.Name())
		}
		if strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") {
			files = append(files, path)
		}
		return nil
	})
	assert.NilError(t, err)
	return files
}

// skipDirectory returns filepath.SkipDir for other modules, this package, and the
// directories that the go tool ignores.
func skipDirectory(path, name string) error {
	if path == ".." {
		return nil
	}
	_, err := os.Stat(filepath.Join(path, "go.mod"))
	ignored := name == "testdata" || strings.HasPrefix(name, ".") || strings.HasPrefix(name, "_")
	if err == nil || ignored || path == filepath.Join("..", "eventlog") {
		return filepath.SkipDir
	}
	return nil
}

// collectEmitted adds the events that a file passes to Emit or EmitError.
func collectEmitted(file *ast.File, emitted map[string]bool) {
	ast.Inspect(file, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok || len(call.Args) == 0 {
			return true
		}
		method, ok := call.Fun.(*ast.SelectorExpr)
		if !ok || (method.Sel.Name != "Emit" && method.Sel.Name != "EmitError") {
			return true
		}
		event, ok := call.Args[0].(*ast.SelectorExpr)
		if !ok {
			return true
		}
		if pkg, ok := event.X.(*ast.Ident); ok && pkg.Name == "eventlog" {
			emitted[event.Sel.Name] = true
		}
		return true
	})
}
