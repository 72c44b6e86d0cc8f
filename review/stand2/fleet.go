package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"
)

// freeAddress returns a loopback address whose port is free. Its port is below those that the
// kernel gives to outgoing connections.
func freeAddress() string {
	for range 1000 {
		address := fmt.Sprintf("127.0.0.1:%d", 20000+rand.IntN(12000))
		if _, given := givenAddresses.LoadOrStore(address, true); given {
			continue
		}
		if l, err := net.Listen("tcp", address); err == nil {
			l.Close()
			return address
		}
	}
	cannotRun("no free port")
	return ""
}

// givenAddresses are those that freeAddress has returned.
var givenAddresses sync.Map

// daemon is one process of marjoramd.
type daemon struct {
	name, zone                    string
	callers, peers, ready, metric string
	settings                      string
	log                           string
	process                       *exec.Cmd
	ended                         chan struct{} // closed when the process has ended
}

// fleet is a small deployment on loopback addresses.
type fleet struct {
	dir, root string
	store     *store
	storeAddr string
	daemons   []*daemon
	rec       *record
}

// zones of the deployment and their regions.
var zones = map[string]string{"zone-a": "north", "zone-b": "north", "zone-c": "south"}

var zoneNames = []string{"zone-a", "zone-b", "zone-c"}

// running is the fleet of the case, which cannotRun stops.
var running *fleet

func newFleet(rec *record) *fleet {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		panic(err)
	}
	root, err := filepath.Abs(os.Getenv("REVIEW_ROOT"))
	if err != nil {
		panic(err)
	}
	f := &fleet{dir: dir, root: root, store: newStore(), rec: rec}
	l, err := net.Listen("tcp", freeAddress())
	if err != nil {
		panic(err)
	}
	f.storeAddr = l.Addr().String()
	go http.Serve(l, f.store)
	running = f
	return f
}

// settingsText follows deploy/settings.yaml with the bounds of the small deployments.
const settingsText = `name: %q
dataCentre: %q
region: %q
listen:
  callers: %q
  peers: %q
gateway:
  store: %q
  ready: %q
  metrics: %q
  dataCentres: {"zone-a":"north","zone-b":"north","zone-c":"south"}
  grace: "8s"
  retryRatio: 0.2
  retryWindow: "10s"
  retrySlack: 52
  memoryMb: 284
  limitWindow: "8s"
  limitOverage: 0.1
  limitSlack: 140000
  applyWithin: "2500ms"
  overflow:
    enabled: true
    nearbyMsPerMb: 40
    farMsPerMb: 400
`

// startDaemons starts n daemons, spread over the zones.
func (f *fleet) startDaemons(n int) {
	for i := range n {
		zone := zoneNames[i%len(zoneNames)]
		d := &daemon{
			name: fmt.Sprintf("front-%s-%d", zone, i/len(zoneNames)+1), zone: zone,
			callers: freeAddress(), peers: freeAddress(), ready: freeAddress(), metric: freeAddress(),
		}
		d.settings = filepath.Join(f.dir, d.name+".yaml")
		d.log = filepath.Join(f.dir, d.name+".log")
		text := fmt.Sprintf(settingsText, d.name, d.zone, zones[d.zone], d.callers, d.peers, f.storeAddr, d.ready, d.metric)
		if err := os.WriteFile(d.settings, []byte(text), 0o644); err != nil {
			panic(err)
		}
		f.daemons = append(f.daemons, d)
		f.start(d)
	}
}

// start starts a daemon with the command of the deploy file.
func (f *fleet) start(d *daemon) {
	log, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		panic(err)
	}
	c := exec.Command(filepath.Join(f.root, "target/marjoramd"), "--settings", d.settings)
	c.Dir = f.root
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		cannotRun("start of the daemon: %v", err)
	}
	d.process, d.ended = c, make(chan struct{})
	go func() {
		_ = c.Wait()
		log.Close()
		close(d.ended)
	}()
	f.rec.log("daemon %s started, pid %d", d.name, c.Process.Pid)
}

func (d *daemon) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	r, err := client.Get("http://" + d.ready + "/ready")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// awaitReady waits until all daemons are ready.
func (f *fleet) awaitReady() {
	deadline := time.Now().Add(15 * time.Second)
	for _, d := range f.daemons {
		for !d.isReady() {
			if time.Now().After(deadline) {
				cannotRun("daemon %s is not ready", d.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	f.rec.log("all daemons are ready")
}

// stop ends all daemons and removes the temporary folder.
func (f *fleet) stop() {
	for _, d := range f.daemons {
		if d.process != nil {
			_ = d.process.Process.Kill()
			<-d.ended
		}
	}
	os.RemoveAll(f.dir)
}

// cannotRun stops the daemons and ends the case with exit code 2.
func cannotRun(format string, args ...any) {
	if running != nil {
		running.stop()
	}
	fmt.Fprintf(os.Stderr, "cannot run: "+format+"\n", args...)
	os.Exit(2)
}

// record writes record.txt.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	if err != nil {
		cannotRun("%v", err)
	}
	return &record{file: file, started: time.Now()}
}

func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.started).Seconds()}, args...)...)
}
