package cluster

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Process is one process of a cluster. It is not safe for concurrent use.
type Process struct {
	Name    string
	program string
	args    []string
	// environment is added to the variables inherited from the starting program.
	environment []string
	logPath     string
	cmd         *exec.Cmd
	exited      chan error
}

// NewProcess describes a process that logs into a directory; Start runs it.
func NewProcess(dir, name, program string, args ...string) *Process {
	return &Process{Name: name, program: program, args: args, logPath: filepath.Join(dir, name+".log")}
}

// Start runs the process; its output is appended to its log file.
func (p *Process) Start() error {
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	p.cmd = exec.Command(p.program, p.args...)
	p.cmd.Env = append(os.Environ(), p.environment...)
	p.cmd.Stdout = log
	p.cmd.Stderr = log
	// The child is killed when the program that started it ends, also by a crash.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	p.exited = make(chan error, 1)
	go func(cmd *exec.Cmd, exited chan<- error) { exited <- cmd.Wait() }(p.cmd, p.exited)
	return nil
}

// Running reports whether Start has been called and neither Stop nor Kill since. It
// stays true for a process that ended by itself.
func (p *Process) Running() bool {
	return p.cmd != nil
}

// Stop sends SIGTERM and waits for the process to end. It returns the error of the
// process. After the timeout it kills the process and returns an error.
func (p *Process) Stop(timeout time.Duration) error {
	if p.cmd == nil {
		return nil
	}
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-p.exited:
		p.cmd = nil
		return err
	case <-time.After(timeout):
		p.Kill()
		return fmt.Errorf("%s did not stop within %s", p.Name, timeout)
	}
}

// Kill sends SIGKILL and waits for the process to end.
func (p *Process) Kill() {
	if p.cmd == nil {
		return
	}
	_ = p.cmd.Process.Kill()
	<-p.exited
	p.cmd = nil
}

// Suspend stops the process with SIGSTOP: its connections stay open and silent until
// Resume.
func (p *Process) Suspend() error {
	return p.signal(syscall.SIGSTOP)
}

// Resume continues a suspended process.
func (p *Process) Resume() error {
	return p.signal(syscall.SIGCONT)
}

func (p *Process) signal(s syscall.Signal) error {
	if p.cmd == nil {
		return errors.New("process " + p.Name + " is not running")
	}
	return p.cmd.Process.Signal(s)
}

// PID returns the process id, or 0 if the process is not running.
func (p *Process) PID() int {
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// Log returns the output that the process has written so far.
func (p *Process) Log() string {
	data, err := os.ReadFile(p.logPath)
	if err != nil {
		return ""
	}
	return string(data)
}
