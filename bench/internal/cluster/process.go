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

// Process is one process of a cluster. Its methods are for one goroutine.
type Process struct {
	Name    string
	program string
	args    []string
	// environment is added to that of this program.
	environment []string
	logPath     string
	cmd         *exec.Cmd
	done        chan error
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
	// Children end with the program that started them, also when that one crashes.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	p.done = make(chan error, 1)
	go func(cmd *exec.Cmd, done chan<- error) { done <- cmd.Wait() }(p.cmd, p.done)
	return nil
}

// Running says whether the process has been started and not been stopped.
func (p *Process) Running() bool {
	return p.cmd != nil
}

// Stop asks the process to stop and waits for its end.
func (p *Process) Stop(timeout time.Duration) error {
	if p.cmd == nil {
		return nil
	}
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-p.done:
		p.cmd = nil
		return err
	case <-time.After(timeout):
		p.Kill()
		return fmt.Errorf("%s did not stop within %s", p.Name, timeout)
	}
}

// Kill ends the process at once.
func (p *Process) Kill() {
	if p.cmd == nil {
		return
	}
	_ = p.cmd.Process.Kill()
	<-p.done
	p.cmd = nil
}

// Suspend stops the process without closing its connections; Thaw continues it.
func (p *Process) Suspend() error {
	return p.signal(syscall.SIGSTOP)
}

// Resume continues a frozen process.
func (p *Process) Resume() error {
	return p.signal(syscall.SIGCONT)
}

func (p *Process) signal(s syscall.Signal) error {
	if p.cmd == nil {
		return errors.New("process " + p.Name + " does not run")
	}
	return p.cmd.Process.Signal(s)
}

// PID returns the process id, or 0.
func (p *Process) PID() int {
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// Log returns what the process wrote so far.
func (p *Process) Log() string {
	data, err := os.ReadFile(p.logPath)
	if err != nil {
		return ""
	}
	return string(data)
}
