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

// stdinName stands for the standard input.
const stdinName = "-"

// baseComment precedes the base generation in the first line of files that
// "get set" writes.
const baseComment = "# base-generation: "

// objectEndings are the endings of object files in a directory.
var objectEndings = []string{".yaml", ".yml", ".json"}

// readFiles reads files, directories and the standard input.
func (t *tool) readFiles(names []string) ([]object.File, error) {
	var files []object.File
	for _, name := range names {
		paths, err := expand(name)
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

// expand returns the object files of a directory, or the file itself.
func expand(name string) ([]string, error) {
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
		if !entry.IsDir() && slices.Contains(objectEndings, filepath.Ext(entry.Name())) {
			paths = append(paths, filepath.Join(name, entry.Name()))
		}
	}
	if len(paths) == 0 {
		return nil, fault.New("ctl.read", name, fmt.Sprintf("the directory has no files that end in %s", strings.Join(objectEndings, ", ")))
	}
	return paths, nil
}

// readSet reads and checks files. Problems are printed and returned as an error.
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

// reportProblems prints problems and returns an error that counts them.
func (t *tool) reportProblems(problems object.Problems) error {
	if err := t.print(problems, formatTable, func() *table { return problemsTable(problems) }); err != nil {
		return err
	}
	return &exitError{ExitProblems, fmt.Errorf("%d problem(s)", len(problems))}
}

// baseOf returns the base generation that the files state. Files that state
// different ones are an error.
func baseOf(files []object.File) (base uint64, found bool, err error) {
	for _, file := range files {
		line, _ := bufio.NewReader(bytes.NewReader(file.Data)).ReadString('\n')
		text, ok := strings.CutPrefix(strings.TrimSpace(line), strings.TrimSpace(baseComment))
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
