package ctl

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/marjoramflow/marjoramflow/fault"
	"github.com/marjoramflow/marjoramflow/object"
)

// stdinName is the file name that means the standard input.
const stdinName = "-"

// baseCommentPrefix precedes the base generation in the first line of files that
// "get set" writes.
const baseCommentPrefix = "# base-generation: "

// objectExtensions are the extensions of files that are read from a directory.
var objectExtensions = []string{".yaml", ".yml", ".json"}

// readFiles reads the named files, the object files of the named directories, and
// the standard input for the name stdinName.
func (t *tool) readFiles(names []string) ([]object.File, error) {
	var files []object.File
	for _, name := range names {
		paths, err := expandPath(name)
		if err != nil {
			return nil, err
		}
		for _, path := range paths {
			data, err := t.readFile(path)
			if err != nil {
				return nil, fault.Wrap(err, "ctl.read", path)
			}
			files = append(files, object.File{Name: path, Data: data})
		}
	}
	return files, nil
}

func (t *tool) readFile(path string) ([]byte, error) {
	if path == stdinName {
		return io.ReadAll(t.env.Stdin)
	}
	return os.ReadFile(path)
}

// expandPath returns the paths of the object files in a directory, not in its
// subdirectories. For a file or stdinName it returns the name itself.
func expandPath(name string) ([]string, error) {
	if name == stdinName {
		return []string{name}, nil
	}
	info, err := os.Stat(name)
	if err != nil {
		return nil, fault.Wrap(err, "ctl.read", name)
	}
	if !info.IsDir() {
		return []string{name}, nil
	}
	entries, err := os.ReadDir(name)
	if err != nil {
		return nil, fault.Wrap(err, "ctl.read", name)
	}
	var paths []string
	for _, entry := range entries {
		if !entry.IsDir() && slices.Contains(objectExtensions, filepath.Ext(entry.Name())) {
			paths = append(paths, filepath.Join(name, entry.Name()))
		}
	}
	if len(paths) == 0 {
		return nil, fault.New("ctl.read", name, fmt.Sprintf("the directory has no files that end in %s", strings.Join(objectExtensions, ", ")))
	}
	return paths, nil
}

// readSet reads the files and merges and checks their objects. If there are
// problems, it prints them and returns an error.
func (t *tool) readSet(names []string) (*object.Set, []object.File, error) {
	files, err := t.readFiles(names)
	if err != nil {
		return nil, nil, err
	}
	set, problems := object.ParseFiles(files...)
	if len(problems) > 0 {
		return nil, nil, t.reportProblems(problems)
	}
	return set, files, nil
}

// reportProblems prints problems and returns an error with their number and
// ExitProblems.
func (t *tool) reportProblems(problems object.Problems) error {
	if err := t.printValue(problems, formatTable, func() *table { return problemsTable(problems) }); err != nil {
		return err
	}
	return &exitError{ExitProblems, fmt.Errorf("%d problem(s)", len(problems))}
}

// baseFromFiles returns the base generation that the first lines of the files
// state. It is an error if they state different ones.
func baseFromFiles(files []object.File) (base uint64, found bool, err error) {
	for _, file := range files {
		line, _ := bufio.NewReader(bytes.NewReader(file.Data)).ReadString('\n')
		text, ok := strings.CutPrefix(strings.TrimSpace(line), strings.TrimSpace(baseCommentPrefix))
		if !ok {
			continue
		}
		generation, err := strconv.ParseUint(strings.TrimSpace(text), 10, 64)
		if err != nil {
			return 0, false, usageError(fmt.Sprintf("%s:1: %q is not a generation", file.Name, text))
		}
		if found && generation != base {
			return 0, false, usageError(fmt.Sprintf("the files state the base generations %d and %d", base, generation))
		}
		base, found = generation, true
	}
	return base, found, nil
}
