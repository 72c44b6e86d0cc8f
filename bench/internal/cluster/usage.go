package cluster

import (
	"fmt"
	"os"
	"strings"
	"time"
)

// clockTicks is the unit of /proc/<pid>/stat; it is 100 per second on Linux.
const clockTicks = 100

// Usage is what a process has used since its start.
type Usage struct {
	CPU time.Duration
	// Resident is the resident memory in bytes.
	Resident int64
}

// Usage reads the use of the process from /proc.
func (p *Process) Usage() (Usage, error) {
	return usage(p.PID(), p.Name)
}

// SelfUsage returns the use of the running program.
func SelfUsage() (Usage, error) {
	return usage(os.Getpid(), "self")
}

func usage(pid int, name string) (Usage, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, err
	}
	// The second field is the name in parentheses and may contain spaces.
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	const userField, systemField, residentField = 11, 12, 21
	if len(fields) <= residentField {
		return Usage{}, fmt.Errorf("process %s: %d fields in stat", name, len(fields))
	}
	var user, system, pages int64
	for i, value := range map[int]*int64{userField: &user, systemField: &system, residentField: &pages} {
		if _, err := fmt.Sscan(fields[i], value); err != nil {
			return Usage{}, err
		}
	}
	return Usage{
		CPU:      time.Duration(user+system) * time.Second / clockTicks,
		Resident: pages * int64(os.Getpagesize()),
	}, nil
}
