package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// daemonProgram is the program of the deploy file's role, relative to the repository.
	daemonProgram = "target/marjoramd"
	// readyTimeout bounds the start of the daemons.
	readyTimeout = 15 * time.Second
	// settleTime is the time from the readiness of the daemons to the start of traffic. All
	// machines are in touch then: contactMs is 4,000.
	settleTime = 5 * time.Second
	// stopTimeout is how long a daemon may take to end after SIGTERM: graceS is 8.
	stopTimeout = 9 * time.Second
)

// bench holds the processes and stand-ins of one case.
type bench struct {
	rec     *recorder
	trouble bool
	dir     string
	store   *store
	address string // of the store
	daemons []*daemon
	fleet   *fleet
	clients *clients

	mu       sync.Mutex
	closed   bool
	children []*exec.Cmd
	// reaped counts the children that were not waited for yet.
	reaped sync.WaitGroup
}

// daemon is one process of the product.
type daemon struct {
	name, zone                     string
	callers, peers, ready, metrics string
	settings                       string
	process                        *exec.Cmd
	exited                         chan struct{}
}

// newBench starts the store.
func newBench(recordPath string, trouble bool) (*bench, error) {
	if _, err := os.Stat(daemonProgram); err != nil {
		return nil, fmt.Errorf("build the deploy file first: %w", err)
	}
	rec, err := newRecorder(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	b := &bench{rec: rec, trouble: trouble, dir: dir, store: newStore()}
	b.fleet = newFleet(b)
	b.clients = newClients(b)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b.address = listener.Addr().String()
	go func() { _ = http.Serve(listener, b.store.handler()) }()
	rec.line("trouble=%v", trouble)
	return b, nil
}

// close ends the processes and removes the temporary folder.
func (b *bench) close() {
	b.mu.Lock()
	if b.closed {
		b.mu.Unlock()
		return
	}
	b.closed = true
	for _, c := range b.children {
		_ = c.Process.Kill()
	}
	b.mu.Unlock()
	b.reaped.Wait()
	b.rec.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(b.dir)
	} else {
		fmt.Println("kept", b.dir)
	}
}

// errClosed is returned by spawn once the case has ended.
var errClosed = errors.New("the case has ended")

// spawn starts a child process that ends with this one. The caller waits for it and then calls
// reaped.Done.
func (b *bench) spawn(c *exec.Cmd) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return errClosed
	}
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	b.children = append(b.children, c)
	b.reaped.Add(1)
	return nil
}

// Ports of daemons and model servers are taken from this range. It lies below the usual range
// of outgoing connections, which could take the port of a process that is restarted.
const (
	firstPort = 10000
	lastPort  = 30000
)

// nextPort is the port that freeAddress tries next. It only rises, so that no port is handed out
// twice, and starts at random, so that cases that run at once rarely meet.
var nextPort atomic.Int32

func init() { nextPort.Store(int32(firstPort + rand.IntN(lastPort-firstPort-1000))) }

// freeAddress returns a loopback address with a port that was free just now.
func freeAddress() (string, error) {
	for {
		port := nextPort.Add(1)
		if port > lastPort {
			return "", errors.New("no free port")
		}
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			defer listener.Close()
			return listener.Addr().String(), nil
		}
	}
}

// zones are the zones of the small deployment, with their regions.
var zones = map[string]string{"pe-recife": "pe", "pe-caruaru": "pe", "ce-fortaleza": "ce"}

// zoneNames lists zones in a fixed order.
var zoneNames = []string{"pe-recife", "ce-fortaleza", "pe-caruaru"}

// wholeSlack is a budgetSlack of a small deployment.
const wholeSlack = "52"

// settingsFormat is deploy/settings.yaml with the bounds of a small deployment filled in.
const settingsFormat = `name: "%s"
dataCentre: "%s"
region: "%s"
listen:
  callers: "%s"
  peers: "%s"
gateway:
  store: "%s"
  ready: "%s"
  metrics: "%s"
  dataCentres: {"pe-recife":"pe","ce-fortaleza":"ce","pe-caruaru":"pe"}
  grace: "8s"
  retryRatio: 0.2
  retryWindow: "10s"
  retrySlack: %s
  memoryMb: 284
  limitWindow: "8s"
  limitOverage: 0.1
  limitSlack: 140000
  applyWithin: "2500ms"
`

// launchDaemons starts two daemons in each zone, with a budgetSlack in their settings.
func (b *bench) launchDaemons(slack string) error {
	for _, zone := range zoneNames {
		for i := 1; i <= 2; i++ {
			if err := b.startDaemon(fmt.Sprintf("front-%s-%d", zone, i), zone, slack); err != nil {
				return err
			}
		}
	}
	return nil
}

// startDaemons starts the daemons and waits until all are ready.
func (b *bench) startDaemons() error {
	if err := b.launchDaemons(wholeSlack); err != nil {
		return err
	}
	if err := b.awaitReady(); err != nil {
		return err
	}
	b.rec.line("all daemons are ready")
	time.Sleep(settleTime)
	return nil
}

func (b *bench) startDaemon(name, zone, slack string) error {
	var addresses [4]string
	for i := range addresses {
		address, err := freeAddress()
		if err != nil {
			return err
		}
		addresses[i] = address
	}
	d := &daemon{name: name, zone: zone, callers: addresses[0], peers: addresses[1], ready: addresses[2], metrics: addresses[3], settings: filepath.Join(b.dir, name+".yaml")}
	if err := b.writeSettings(d, slack); err != nil {
		return err
	}
	b.daemons = append(b.daemons, d)
	return b.launch(d)
}

// writeSettings writes the settings file of a daemon with a budgetSlack.
func (b *bench) writeSettings(d *daemon, slack string) error {
	text := fmt.Sprintf(settingsFormat, d.name, d.zone, zones[d.zone], d.callers, d.peers, b.address, d.ready, d.metrics, slack)
	return os.WriteFile(d.settings, []byte(text), 0o600)
}

// launch starts the process of a daemon, at first and after it was killed.
func (b *bench) launch(d *daemon) error {
	log, err := os.OpenFile(filepath.Join(b.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	c := exec.Command(daemonProgram, "--settings", d.settings)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MARJORAMFLOW_NODE_FILE=" + d.settings}
	c.Stdout, c.Stderr = log, log
	d.exited = make(chan struct{})
	if err := b.spawn(c); err != nil {
		close(d.exited)
		return err
	}
	d.process = c
	exited := d.exited
	go func() {
		err := c.Wait()
		b.rec.line("%s ended: %v", d.name, err)
		close(exited)
		b.reaped.Done()
	}()
	return nil
}

// isReady asks a daemon whether it is ready.
func (d *daemon) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + d.ready + "/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (b *bench) awaitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, d := range b.daemons {
		for !d.isReady() {
			select {
			case <-d.exited:
				return errors.New(d.name + " ended at its start")
			case <-time.After(50 * time.Millisecond):
			}
			if time.Now().After(deadline) {
				return errors.New(d.name + " did not become ready")
			}
		}
	}
	return nil
}

// inZone returns the daemons of a zone.
func (b *bench) inZone(zone string) []*daemon {
	var out []*daemon
	for _, d := range b.daemons {
		if d.zone == zone {
			out = append(out, d)
		}
	}
	return out
}
