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

// Accounts by rank of their tier. The burst has its own accounts, as the estimate
// of answer lengths is made by account.
var (
	accounts      = []string{"clerks", "donors", "reports"}
	burstAccounts = []string{"helpline", "depots", "appeals"}
)

const (
	// thinkTime is the pause of a caller between two requests.
	thinkTime = 100 * time.Millisecond
	// retryPause is the pause after a broken connection.
	retryPause = 200 * time.Millisecond
	// readinessPoll is the interval of the stand-in load balancer.
	readinessPoll = time.Second
	// chatTokens bounds the answers of the background traffic.
	chatTokens = 24
)

// traffic sends requests and keeps what became of them.
type traffic struct {
	cluster *cluster.Cluster
	clients []*caller.Client
	// burstClients are the callers of the burst by rank.
	burstClients []*caller.Client
	cancel       context.CancelFunc
	group        sync.WaitGroup
	number       atomic.Int64
	// ready says by daemon whether the balancer sends it new requests. The killed
	// daemon keeps its callers, which notice by themselves.
	ready map[string]*atomic.Bool

	mu      sync.Mutex
	records []Record
}

func newTraffic(c *cluster.Cluster) *traffic {
	t := &traffic{cluster: c, ready: make(map[string]*atomic.Bool)}
	t.clients = callers(accounts)
	t.burstClients = callers(burstAccounts)
	for _, d := range c.Daemons {
		t.ready[d.Name] = &atomic.Bool{}
		t.ready[d.Name].Store(true)
	}
	return t
}

func callers(accounts []string) []*caller.Client {
	var clients []*caller.Client
	for _, a := range accounts {
		client := caller.New(cluster.CallerToken(a))
		client.RecordGaps = true
		clients = append(clients, client)
	}
	return clients
}

// start runs the background callers until stop.
func (t *traffic) start(ctx context.Context) {
	ctx, t.cancel = context.WithCancel(ctx)
	for i, d := range t.cluster.Daemons {
		for rank := range accounts {
			t.loop(ctx, d, func(c context.Context) caller.Result { return t.chat(c, t.clients[rank], d, rank, chatTokens) })
		}
		next := t.cluster.Daemons[(i+1)%len(t.cluster.Daemons)]
		t.loop(ctx, d, func(c context.Context) caller.Result { return t.reserve(c, d) })
		t.loop(ctx, d, func(c context.Context) caller.Result { return t.reserveTwice(c, d, next) })
	}
}

// stop ends the callers after their last answers and returns all records.
func (t *traffic) stop() []Record {
	t.cancel()
	t.group.Wait()
	return t.records
}

// loop sends one request after the other. A request that was sent is finished
// also when the traffic ends.
func (t *traffic) loop(ctx context.Context, d *cluster.Daemon, send func(context.Context) caller.Result) {
	t.group.Go(func() {
		for ctx.Err() == nil {
			pause := thinkTime
			if !t.ready[d.Name].Load() {
				pause = retryPause
			} else if send(context.WithoutCancel(ctx)).Outcome == caller.Broken {
				pause = retryPause
			}
			sleep(ctx, pause)
		}
	})
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// next returns a unique request id.
func (t *traffic) next(kind string, d *cluster.Daemon) string {
	return fmt.Sprintf("%s-%s-%d", kind, d.Name, t.number.Add(1))
}

func (t *traffic) keep(r Record) caller.Result {
	r.Ended = time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.records = append(t.records, r)
	return r.Result
}

func (t *traffic) chat(ctx context.Context, client *caller.Client, d *cluster.Daemon, rank, tokens int) caller.Result {
	id := t.next(kindChat, d)
	r := Record{Kind: kindChat, ID: id, Daemon: d.Name, DataCentre: d.DataCentre, Rank: rank, Started: time.Now()}
	r.Result = client.Chat(ctx, d.CallerAddress, caller.Chat{Service: cluster.ModelService, Prompt: "question " + id, MaxTokens: tokens, ID: id})
	return t.keep(r)
}

// plain sends one reservation.
func (t *traffic) plain(ctx context.Context, d *cluster.Daemon, body, key string, repeat bool) caller.Result {
	id := t.next(kindPlain, d)
	if body == "" {
		body = "panel for " + id
	}
	r := Record{Kind: kindPlain, ID: id, Daemon: d.Name, DataCentre: d.DataCentre, Body: body, Key: key, Repeat: repeat, Started: time.Now()}
	r.Result = t.clients[0].Plain(ctx, d.CallerAddress, caller.Plain{Method: http.MethodPost, Path: "/reservations", Body: body, Key: key, ID: id})
	return t.keep(r)
}

// reserve sends a reservation without a key.
func (t *traffic) reserve(ctx context.Context, d *cluster.Daemon) caller.Result {
	return t.plain(ctx, d, "", "", false)
}

// reserveTwice sends a keyed reservation through one daemon and, at the same
// time, again through another one that takes requests.
func (t *traffic) reserveTwice(ctx context.Context, d, other *cluster.Daemon) caller.Result {
	id := t.next("order", d)
	body, key := "panel for "+id, "key-"+id
	var group sync.WaitGroup
	defer group.Wait()
	if t.ready[other.Name].Load() {
		group.Go(func() {
			sleep(ctx, time.Duration(t.number.Load()%3)*thinkTime/10)
			t.plain(ctx, other, body, key, true)
		})
	}
	return t.plain(ctx, d, body, key, false)
}

// balance polls the readiness of a daemon until the context ends, as the
// platform's load balancer does.
func (t *traffic) balance(ctx context.Context, d *cluster.Daemon) {
	client := &http.Client{Timeout: time.Second}
	for sleep(ctx, readinessPoll); ctx.Err() == nil; sleep(ctx, readinessPoll) {
		resp, err := client.Get("http://" + d.CallerAddress + "/readyz")
		up := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			resp.Body.Close()
		}
		t.ready[d.Name].Store(up)
	}
}

// burst sends so many chats of each tier at once, spread over the daemons; the
// lowest tier comes first.
func (t *traffic) burst(ctx context.Context, counts []int, tokens int) {
	var group sync.WaitGroup
	for rank := len(counts) - 1; rank >= 0; rank-- {
		for i := range counts[rank] {
			d := t.cluster.Daemons[i%len(t.cluster.Daemons)]
			group.Go(func() { t.chat(ctx, t.burstClients[rank], d, rank, tokens) })
		}
		sleep(ctx, time.Second)
	}
	group.Wait()
}
