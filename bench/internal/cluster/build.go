package cluster

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
)

// BuildPrograms compiles the binaries into a directory, with extra flags for go build.
// Tests use it; marjorambench uses the binaries beside its own (FindPrograms).
func BuildPrograms(dir string, flags ...string) (Programs, error) {
	args := append([]string{"build"}, flags...)
	args = append(args, "-o", dir+string(filepath.Separator),
		"github.com/marjoramflow/marjoramflow/cmd/marjoramd",
		"github.com/marjoramflow/marjoramflow/cmd/marjoramctl",
		"github.com/marjoramflow/marjoramflow/bench/cmd/marjorambench")
	out, err := exec.Command("go", args...).CombinedOutput()
	if err != nil {
		return Programs{}, fmt.Errorf("go build: %w\n%s", err, out)
	}
	return programsIn(dir), nil
}

// FindPrograms returns the binaries in the directory of the running program.
func FindPrograms() (Programs, error) {
	executable, err := os.Executable()
	if err != nil {
		return Programs{}, err
	}
	return programsIn(filepath.Dir(executable)), nil
}

func programsIn(dir string) Programs {
	return Programs{
		Daemon: filepath.Join(dir, "marjoramd"),
		Ctl:    filepath.Join(dir, "marjoramctl"),
		Bench:  filepath.Join(dir, "marjorambench"),
	}
}
