package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// run is one play of a case: its record, its temporary folder and the processes it started.
type run struct {
	trouble bool
	start   time.Time
	folder  string

	mu     sync.Mutex
	record *bufio.Writer
	file   *os.File

	daemons []*daemon
	closed  bool
}

// caseLimit is the time after which a case is ended.
const caseLimit = 110 * time.Second

func newRun(recordPath string, trouble bool) (*run, error) {
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	r := &run{trouble: trouble, start: time.Now(), folder: folder, file: file, record: bufio.NewWriter(file)}
	signal.Ignore(syscall.SIGPIPE)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-stop:
		case <-time.After(caseLimit):
		}
		r.note("the case was ended early")
		r.close()
		os.Exit(cannotRun)
	}()
	r.note("disruption: %v", trouble)
	return r, nil
}

// note writes a line to the record, with the seconds since the start.
func (r *run) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	r.record.Flush()
}

// say writes a line to the record and to standard output.
func (r *run) say(format string, args ...any) {
	r.note(format, args...)
	fmt.Printf(format+"\n", args...)
}

// close ends all processes that the run started.
func (r *run) close() {
	r.mu.Lock()
	if r.closed {
		r.mu.Unlock()
		return
	}
	r.closed = true
	daemons := r.daemons
	r.mu.Unlock()
	for _, d := range daemons {
		d.kill()
	}
	os.RemoveAll(r.folder)
}

// daemon is one machine of the system with its process.
type daemon struct {
	name, zone, ip       string
	front, ready, listen int
	settings, log        string

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
}

// frontAddress is where clients connect to.
func (d *daemon) frontAddress() string { return fmt.Sprintf("%s:%d", d.ip, d.front) }

// region is the region of each zone of a run.
var regions = map[string]string{"erie-a": "erie-shore", "erie-b": "erie-shore", "superior-a": "superior-north"}

// addDaemon starts a daemon with the command of the deploy file and the settings of its template,
// with the figures of the small deployment fkc-scaling.
func (r *run) addDaemon(name, zone, ip, storeAddress string, ports [3]int) (*daemon, error) {
	d := &daemon{name: name, zone: zone, ip: ip, front: ports[0], ready: ports[1], listen: ports[2]}
	d.settings = filepath.Join(r.folder, name+".yaml")
	d.log = filepath.Join(r.folder, name+".log")
	template, err := os.ReadFile("deploy/settings.yaml")
	if err != nil {
		return nil, err
	}
	text, err := fillTemplate(string(template), map[string]any{
		"nodeName": name, "zone": zone, "region": regions[zone], "ip": ip, "zones": regions,
		"internalPorts": []any{d.listen, d.listen},
		"listen":        map[string]any{"front": d.frontAddress(), "ready": fmt.Sprintf("%s:%d", ip, d.ready)},
		"platform":      map[string]any{"address": storeAddress},
		"limits":        map[string]any{"memoryMb": 284},
		"bounds": map[string]any{
			"graceS": 8, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 54, "quotaWindowS": 8,
			"quotaOverage": 0.1, "quotaSlack": 190000, "configApplyMs": 2500,
		},
	})
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	r.mu.Lock()
	r.daemons = append(r.daemons, d)
	r.mu.Unlock()
	return d, d.startProcess()
}

func (d *daemon) startProcess() error {
	log, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	process := exec.Command("target/marjoramd", "--settings", d.settings)
	process.Stdout, process.Stderr = log, log
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	if err := process.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = process.Wait()
		close(ended)
	}()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.process, d.ended = process, ended
	return nil
}

// signal sends a signal to the daemon's process.
func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.process != nil {
		_ = d.process.Process.Signal(s)
	}
}

// kill ends the daemon's process and waits for its end.
func (d *daemon) kill() {
	d.signal(syscall.SIGKILL)
	d.mu.Lock()
	ended := d.ended
	d.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// hasEnded reports whether the daemon's process has ended.
func (d *daemon) hasEnded() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case <-d.ended:
		return true
	default:
		return false
	}
}

const (
	// metricsPort is the port of the metrics in the settings template.
	metricsPort = 9100
	// The daemons of a play have addresses of one of loopbackNetworks networks 127.0.N.0/24.
	firstNetwork, loopbackNetworks = 16, 230
)

// freeIPs returns loopback addresses of one network on which the port of the metrics is free.
func freeIPs(count int) ([]string, error) {
	for i := range loopbackNetworks {
		// Plays at the same time begin at different networks.
		network := firstNetwork + (os.Getpid()+i)%loopbackNetworks
		var ips []string
		for host := 1; host <= count; host++ {
			ip := fmt.Sprintf("127.0.%d.%d", network, host)
			listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, metricsPort))
			if err != nil {
				break
			}
			listener.Close()
			ips = append(ips, ip)
		}
		if len(ips) == count {
			return ips, nil
		}
	}
	return nil, fmt.Errorf("port %d is in use on all loopback networks", metricsPort)
}

// freePorts returns ports that are free on an address.
func freePorts(ip string, count int) ([]int, error) {
	var ports []int
	for range count {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		ports = append(ports, listener.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// awaitReady waits until each daemon answers the readiness probe with 200.
func (r *run) awaitReady(limit time.Duration) error {
	until := time.Now().Add(limit)
	for _, d := range r.daemons {
		for !probeReady(d) {
			if time.Now().After(until) {
				text, _ := os.ReadFile(d.log)
				lines := strings.Split(string(text), "\n")
				return fmt.Errorf("daemon %s is not ready; its last lines: %s", d.name, strings.Join(lines[max(0, len(lines)-4):], " | "))
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}
