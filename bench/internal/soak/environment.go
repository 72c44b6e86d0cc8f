package soak

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/marjoramflow/marjoramflow/bench/internal/cluster"
	"github.com/marjoramflow/marjoramflow/bench/standin/platformserver"
)

const (
	account = "depot"
	apiKey  = "depot-key"
	host    = "soak.example"
	// targetsPerService and slots give about ten times the capacity that the callers
	// need: the soak is about faults, not about overload.
	targetsPerService = 3
	slots             = 16
	// grace is the time that a daemon gets to stop.
	grace = 8 * time.Second
	// silenceBeforeRemoval is the time after which the store drops a target that crashed.
	silenceBeforeRemoval = 3 * time.Second
)

// world is everything that a soak runs.
type world struct {
	records *records
	store   *platformserver.Server
	served  *http.Server
	address string
	daemons []*daemon
	targets []*target

	mu      sync.Mutex
	version uint64
}

// daemon is one process and its way to the store.
type daemon struct {
	*cluster.Process
	callers string
	ready   string
	store   *proxy

	mu sync.Mutex
	// boot counts the starts; newest is the newest manifest that this boot served.
	boot   int
	newest uint64
	// stoppedAt is when a planned stop began.
	stoppedAt time.Time
}

func newWorld(program, dir string, daemons int) (*world, error) {
	w := &world{records: newRecords(), store: platformserver.New(1 << 30)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.address = listener.Addr().String()
	w.served = &http.Server{Handler: w.store.Handler()}
	go func() { _ = w.served.Serve(listener) }()
	for _, service := range []string{"records", "engine"} {
		for i := range targetsPerService {
			t, err := newTarget(service, i, w.records)
			if err != nil {
				return nil, err
			}
			w.targets = append(w.targets, t)
		}
	}
	for i := range daemons {
		d, err := w.newDaemon(program, dir, fmt.Sprintf("d%d", i))
		if err != nil {
			return nil, err
		}
		w.daemons = append(w.daemons, d)
	}
	return w, nil
}

// newDaemon writes the settings of a daemon. Daemons take turns between two data
// centres.
func (w *world) newDaemon(program, dir, name string) (*daemon, error) {
	store, err := newProxy(w.address)
	if err != nil {
		return nil, err
	}
	listen := addresses(len(w.daemons), 4)
	place := []string{"a", "b"}[len(w.daemons)%2]
	text := fmt.Sprintf(`name: %s
dataCentre: %s
region: north
listen: {callers: %q, peers: %q}
gateway:
  store: %q
  ready: %q
  metrics: %q
  dataCentres: {a: north, b: north}
  grace: %s
  retryRatio: 0.2
  retryWindow: 10s
  retrySlack: 50
  memoryMb: 284
  limitWindow: 8s
  limitOverage: 0.1
  limitSlack: 140000
  applyWithin: 2500ms
`, name, place, listen[0], listen[1], store.address(), listen[2], listen[3], grace)
	path := filepath.Join(dir, name+".yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	process := cluster.NewProcess(dir, name, program, "--settings", path)
	return &daemon{Process: process, callers: listen[0], ready: listen[2], store: store}, nil
}

const (
	// firstPort is below the ports that the kernel gives to outgoing connections, one of
	// which could take the address of a daemon while it is down.
	firstPort = 20_000
	// portsPerDaemon leaves room between daemons.
	portsPerDaemon = 10
)

// addresses returns the addresses of a daemon, on a loopback address of this process:
// several soaks may run on one machine.
func addresses(number, count int) []string {
	pid := os.Getpid()
	out := make([]string, count)
	for i := range out {
		out[i] = fmt.Sprintf("127.%d.%d.1:%d", 64+pid%64, 1+pid/64%250, firstPort+portsPerDaemon*number+i)
	}
	return out
}

// write commits rows of a table, again and again until the store acknowledges.
func (w *world) write(ctx context.Context, table, key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	row := map[string]any{"table": table, "part": "", "key": key}
	change := map[string]any{"remove": []any{row}}
	if value != nil {
		row["value"] = base64.StdEncoding.EncodeToString(data)
		change = map[string]any{"puts": []any{row}}
	}
	body, err := json.Marshal(change)
	if err != nil {
		return err
	}
	for ctx.Err() == nil {
		if w.commit(body) {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return ctx.Err()
}

// commit makes one call; a store that is down or drops the call does not acknowledge.
func (w *world) commit(body []byte) (acknowledged bool) {
	defer func() {
		if recover() != nil {
			acknowledged = false
		}
	}()
	if w.store.Faults.Get().Freeze {
		return false
	}
	answer := httptest.NewRecorder()
	w.store.Handler().ServeHTTP(answer, httptest.NewRequest(http.MethodPost, "/rows-tx", bytes.NewReader(body)))
	return answer.Code == http.StatusOK
}

// register writes the entry of a target.
func (w *world) register(ctx context.Context, t *target) error {
	return w.write(ctx, "servers", t.identity(), map[string]any{
		"service": t.service, "address": t.proxy.address(), "zone": []string{"a", "b"}[hash(t.identity())%2],
		"version": "v1", "slots": slots, "state": "ready", "born": time.Now().UnixMilli(),
	})
}

// publish writes the next manifest. Each has a route of its own, by which a daemon shows
// which manifests it serves.
func (w *world) publish(ctx context.Context) error {
	w.mu.Lock()
	version := w.version + 1
	w.mu.Unlock()
	routes := []map[string]any{
		route("safe", "/safe/", "safe", "records", 2),
		route("once", "/once/", "unsafe", "records", 1),
		route("stream", "/stream/", "streaming", "engine", 3),
	}
	for v := uint64(1); v <= version; v++ {
		routes = append(routes, route(fmt.Sprint("mark", v), markPath(v), "safe", "records", 2))
	}
	err := w.write(ctx, "op", "config", map[string]any{
		"version": version,
		"routes":  routes,
		"services": []any{
			map[string]any{"name": "records", "healthPath": "/health"},
			map[string]any{"name": "engine", "healthPath": "/health", "engine": map[string]any{"kvCapacity": 1 << 20, "stride": 1}},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": account, "apiKeys": []string{apiKey}, "priority": 0}},
	})
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version = version
	return nil
}

func (w *world) newestManifest() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.version
}

// markPath is the prefix of the route that came with a manifest.
func markPath(version uint64) string {
	return fmt.Sprintf("/safe/mark-%d/", version)
}

func route(name, prefix, kind, service string, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "prefix": prefix, "kind": kind, "service": service, "timeoutMs": 10000,
		"targetLatencyMs": 500, "gapAimMs": 250, "maxAttempts": attempts, "streamResume": strings.HasPrefix(name, "stream"),
	}
}

// start starts a daemon anew.
func (d *daemon) start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.boot++
	d.newest = 0
	d.stoppedAt = time.Time{}
	return d.Process.Start()
}

// waitReady waits until the daemon says that it is ready.
func (d *daemon) waitReady(ctx context.Context) error {
	for ctx.Err() == nil {
		answer, err := http.Get("http://" + d.ready + "/ready")
		if err == nil {
			answer.Body.Close()
			if answer.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready: %w", d.Name, ctx.Err())
}

func (w *world) close() {
	for _, d := range w.daemons {
		if d.Running() {
			d.Kill()
		}
		d.store.close()
	}
	for _, t := range w.targets {
		t.crash()
		t.proxy.close()
	}
	w.served.Close()
}
