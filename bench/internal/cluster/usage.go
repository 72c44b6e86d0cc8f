package cluster

import (
	"fmt"
	"os"
	"strings"
	"time"
)

// clockTicksPerSecond converts the CPU times in /proc/<pid>/stat; Linux has 100.
const clockTicksPerSecond = 100

// Usage is the CPU time of a process since its start and its present memory.
type Usage struct {
	CPU time.Duration
	// Resident is the resident memory in bytes.
	Resident int64
}

// Usage reads the usage of the process from /proc.
func (p *Process) Usage() (Usage, error) {
	return readUsage(p.PID(), p.Name)
}

// SelfUsage returns the usage of the running program.
func SelfUsage() (Usage, error) {
	return readUsage(os.Getpid(), "self")
}

func readUsage(pid int, name string) (Usage, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, err
	}
	// The second field is the program name in parentheses, which may contain spaces.
	// The indexes below count from the field after it.
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	const userField, systemField, residentField = 11, 12, 21
	if len(fields) <= residentField {
		return Usage{}, fmt.Errorf("process %s: /proc stat file has only %d fields", name, len(fields))
	}
	var userTicks, systemTicks, pages int64
	for i, value := range map[int]*int64{userField: &userTicks, systemField: &systemTicks, residentField: &pages} {
		if _, err := fmt.Sscan(fields[i], value); err != nil {
			return Usage{}, err
		}
	}
	return Usage{
		CPU:      time.Duration(userTicks+systemTicks) * time.Second / clockTicksPerSecond,
		Resident: pages * int64(os.Getpagesize()),
	}, nil
}
