package demo

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/marjoramflow/marjoramflow/bench/internal/caller"
	"github.com/marjoramflow/marjoramflow/bench/internal/cluster"
)

// Client accounts by rank of their tier. The burst has its own accounts because the
// length of answers is predicted per account.
var (
	accounts      = []string{"clerks", "donors", "reports"}
	burstAccounts = []string{"helpline", "depots", "appeals"}
)

const (
	// thinkTime is the pause of a caller between an answer and its next request.
	thinkTime = 100 * time.Millisecond
	// retryPause is the pause after a broken connection.
	retryPause = 200 * time.Millisecond
	// readinessPoll is the interval at which the simulated load balancer reads the
	// readiness of a daemon.
	readinessPoll = time.Second
	// chatTokens is the max_tokens of the background traffic.
	chatTokens = 24
)

// traffic sends requests and records their results. It is safe for concurrent use.
type traffic struct {
	cluster *cluster.Cluster
	// clients are the background callers and burstClients those of the burst, by rank.
	clients      []*caller.Client
	burstClients []*caller.Client
	cancel       context.CancelFunc
	tasks        sync.WaitGroup
	requestCount atomic.Int64
	// inRotation holds by daemon whether the load balancer sends it new requests. It
	// stays true for the killed daemon, whose callers see broken connections.
	inRotation map[string]*atomic.Bool

	mu      sync.Mutex
	records []Record
}

func newTraffic(c *cluster.Cluster) *traffic {
	t := &traffic{cluster: c, inRotation: make(map[string]*atomic.Bool)}
	t.clients = newClients(accounts)
	t.burstClients = newClients(burstAccounts)
	for _, d := range c.Daemons {
		t.inRotation[d.Name] = &atomic.Bool{}
		t.inRotation[d.Name].Store(true)
	}
	return t
}

// newClients returns a client for each account.
func newClients(accounts []string) []*caller.Client {
	var clients []*caller.Client
	for _, a := range accounts {
		client := caller.New(cluster.CallerToken(a))
		client.RecordGaps = true
		clients = append(clients, client)
	}
	return clients
}

// start starts the background callers, which run until stop is called.
func (t *traffic) start(ctx context.Context) {
	ctx, t.cancel = context.WithCancel(ctx)
	for i, d := range t.cluster.Daemons {
		for rank := range accounts {
			t.sendRepeatedly(ctx, d, func(c context.Context) caller.Result { return t.sendChat(c, t.clients[rank], d, rank, chatTokens) })
		}
		next := t.cluster.Daemons[(i+1)%len(t.cluster.Daemons)]
		t.sendRepeatedly(ctx, d, func(c context.Context) caller.Result { return t.sendUnkeyedReservation(c, d) })
		t.sendRepeatedly(ctx, d, func(c context.Context) caller.Result { return t.sendRepeatedReservation(c, d, next) })
	}
}

// stop stops the background callers, waits for their last answers and returns all
// records.
func (t *traffic) stop() []Record {
	t.cancel()
	t.tasks.Wait()
	return t.records
}

// sendRepeatedly starts a caller that sends one request after the other to a daemon
// while the daemon is in rotation. When ctx ends, the caller still waits for the answer
// to the request in progress.
func (t *traffic) sendRepeatedly(ctx context.Context, d *cluster.Daemon, send func(context.Context) caller.Result) {
	t.tasks.Go(func() {
		for ctx.Err() == nil {
			pause := thinkTime
			if !t.inRotation[d.Name].Load() {
				pause = retryPause
			} else if send(context.WithoutCancel(ctx)).Outcome == caller.Broken {
				pause = retryPause
			}
			sleep(ctx, pause)
		}
	})
}

// sleep waits for a duration or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// nextID returns a unique request id.
func (t *traffic) nextID(kind string, d *cluster.Daemon) string {
	return fmt.Sprintf("%s-%s-%d", kind, d.Name, t.requestCount.Add(1))
}

// addRecord sets the end time of a record, stores it and returns its result.
func (t *traffic) addRecord(r Record) caller.Result {
	r.Ended = time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.records = append(t.records, r)
	return r.Result
}

// sendChat sends one chat completion with a unique prompt.
func (t *traffic) sendChat(ctx context.Context, client *caller.Client, d *cluster.Daemon, rank, tokens int) caller.Result {
	id := t.nextID(kindChat, d)
	r := Record{Kind: kindChat, ID: id, Daemon: d.Name, DataCentre: d.DataCentre, Rank: rank, Started: time.Now()}
	r.Result = client.Chat(ctx, d.CallerAddress, caller.Chat{Service: cluster.ModelService, Prompt: "question " + id, MaxTokens: tokens, ID: id})
	return t.addRecord(r)
}

// sendReservation sends one reservation, with a unique body if body is empty.
func (t *traffic) sendReservation(ctx context.Context, d *cluster.Daemon, body, key string, repeat bool) caller.Result {
	id := t.nextID(kindReservation, d)
	if body == "" {
		body = "panel for " + id
	}
	r := Record{Kind: kindReservation, ID: id, Daemon: d.Name, DataCentre: d.DataCentre, Body: body, Key: key, Repeat: repeat, Started: time.Now()}
	r.Result = t.clients[0].Plain(ctx, d.CallerAddress, caller.Plain{Method: http.MethodPost, Path: "/reservations", Body: body, Key: key, ID: id})
	return t.addRecord(r)
}

// sendUnkeyedReservation sends a reservation without a key.
func (t *traffic) sendUnkeyedReservation(ctx context.Context, d *cluster.Daemon) caller.Result {
	return t.sendReservation(ctx, d, "", "", false)
}

// sendRepeatedReservation sends a keyed reservation through one daemon and, at about
// the same time, again through another daemon if that one is in rotation.
func (t *traffic) sendRepeatedReservation(ctx context.Context, d, other *cluster.Daemon) caller.Result {
	id := t.nextID("order", d)
	body, key := "panel for "+id, "key-"+id
	var group sync.WaitGroup
	defer group.Wait()
	if t.inRotation[other.Name].Load() {
		group.Go(func() {
			sleep(ctx, time.Duration(t.requestCount.Load()%3)*thinkTime/10)
			t.sendReservation(ctx, other, body, key, true)
		})
	}
	return t.sendReservation(ctx, d, body, key, false)
}

// pollReadiness polls the readiness of a daemon until the context ends, as the
// platform's load balancer does, and takes the daemon in or out of rotation.
func (t *traffic) pollReadiness(ctx context.Context, d *cluster.Daemon) {
	client := &http.Client{Timeout: time.Second}
	for sleep(ctx, readinessPoll); ctx.Err() == nil; sleep(ctx, readinessPoll) {
		resp, err := client.Get("http://" + d.CallerAddress + "/readyz")
		up := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			resp.Body.Close()
		}
		t.inRotation[d.Name].Store(up)
	}
}

// sendBurst sends counts[rank] chats of each tier, spread over the daemons, and waits
// for all answers. The chats of a tier are sent at once, those of the lowest tier first
// and the others at intervals of 1 s.
func (t *traffic) sendBurst(ctx context.Context, counts []int, tokens int) {
	var group sync.WaitGroup
	for rank := len(counts) - 1; rank >= 0; rank-- {
		for i := range counts[rank] {
			d := t.cluster.Daemons[i%len(t.cluster.Daemons)]
			group.Go(func() { t.sendChat(ctx, t.burstClients[rank], d, rank, tokens) })
		}
		sleep(ctx, time.Second)
	}
	group.Wait()
}
