package quota

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marjoramflow/marjoramflow/object"
	"github.com/marjoramflow/marjoramflow/peer/peerpb"
	"github.com/marjoramflow/marjoramflow/rendezvous"
)

// network connects limiters; a daemon in disconnected neither sends nor receives.
type network struct {
	mu           sync.Mutex
	limiters     map[string]*Limiter
	disconnected map[string]bool
}

func (n *network) send(from string) func(string, *peerpb.Envelope) error {
	return func(to string, m *peerpb.Envelope) error {
		n.mu.Lock()
		limiter, dropped := n.limiters[to], n.disconnected[from] || n.disconnected[to]
		n.mu.Unlock()
		if !dropped {
			go limiter.OnMessage(from, m)
		}
		return nil
	}
}

func newNetwork(daemons []string, rate, burst float64) *network {
	n := &network{limiters: map[string]*Limiter{}, disconnected: map[string]bool{}}
	for _, name := range daemons {
		n.limiters[name] = New(Config{
			Self: name, Send: n.send(name), LiveAll: func() []string { return daemons },
			BucketLimits: func(*object.ClientAccount, float64) (float64, float64) { return rate, burst },
		})
	}
	for _, limiter := range n.limiters {
		limiter.tick(time.Now())
		limiter.SetConfig(&object.Set{ClientAccounts: []object.ClientAccount{{Name: "a", TokensPerSecond: rate}}})
	}
	return n
}

var daemons = []string{"d1", "d2", "d3", "d4"}

// Guards against refusing long requests of a small account that fit into its limit
// but not into one daemon's share of it.
func TestLongRequestOfASmallAccountFits(t *testing.T) {
	n := newNetwork(daemons, 1000, 4000)
	bucketOwner := n.limiters[rendezvous.Owner(tokenLimitPrefix+"a", daemons)]
	assert.Equal(t, n.limiters["d1"].consume("tokens/none", 10), time.Duration(0))
	// The bucket starts with an eighth of its size and fills.
	bucketOwner.consume(tokenLimitPrefix+"a", 1)
	time.Sleep(600 * time.Millisecond)
	for _, limiter := range n.limiters {
		if limiter != bucketOwner {
			assert.Equal(t, limiter.Allow("a", 700), time.Duration(0))
			wait := limiter.Allow("a", 3500)
			assert.Assert(t, wait > time.Second && wait < 4*time.Second, "%v", wait)
			return
		}
	}
}

// Guards against daemons that together exceed a limit.
func TestAllDaemonsTogetherKeepTheLimit(t *testing.T) {
	const rate, burst = 20000, 10000
	n := newNetwork(daemons, rate, burst)
	var taken atomic.Int64
	var tasks sync.WaitGroup
	started := time.Now()
	for _, limiter := range n.limiters {
		tasks.Go(func() {
			for time.Since(started) < 500*time.Millisecond {
				if limiter.Allow("a", 50) == 0 {
					taken.Add(50)
				}
				time.Sleep(time.Millisecond)
			}
		})
	}
	tasks.Wait()
	allowed := rate*time.Since(started).Seconds() + burst
	assert.Assert(t, float64(taken.Load()) <= allowed, "%d of %.0f", taken.Load(), allowed)
	assert.Assert(t, taken.Load() > rate/4)
}

// Guards against a daemon that cannot reach the bucket owner and refuses every
// request, or uses the whole limit alone.
func TestDisconnectedDaemonUsesItsShare(t *testing.T) {
	n := newNetwork(daemons, 4000, 8000)
	bucketOwner := rendezvous.Owner(tokenLimitPrefix+"a", daemons)
	for name, limiter := range n.limiters {
		if name == bucketOwner {
			continue
		}
		n.mu.Lock()
		n.disconnected[name] = true
		n.mu.Unlock()
		assert.Equal(t, limiter.Allow("a", 100), time.Duration(0))
		assert.Assert(t, limiter.Allow("a", 900) > 0)
		return
	}
}

// Guards against granting a limit twice during a network partition, when each side
// has its own bucket owner.
func TestBucketOwnerInAMinorityGrantsItsShare(t *testing.T) {
	limiter := New(Config{Self: "d1", BucketLimits: func(*object.ClientAccount, float64) (float64, float64) { return 1000, 1000 }})
	live := daemons
	limiter.LiveAll = func() []string { return live }
	now := time.Now()
	limiter.tick(now)
	assert.Equal(t, limiter.grantShare(), 1.0)
	live = daemons[:3]
	limiter.tick(now.Add(time.Second))
	assert.Equal(t, limiter.grantShare(), 1.0)
	live = daemons[:1]
	limiter.tick(now.Add(2 * time.Second))
	assert.Equal(t, limiter.grantShare(), 0.25)
	limiter.tick(now.Add(2 * knownDaemonsTTL))
	assert.Equal(t, limiter.grantShare(), 1.0)
}

// Guards against a bucket that starts to fill only at the first request, so that
// requests are refused right after a start.
func TestBucketFillsBeforeTheFirstRequest(t *testing.T) {
	n := newNetwork(daemons, 10000, 5000)
	time.Sleep(300 * time.Millisecond)
	bucketOwner := n.limiters[rendezvous.Owner(tokenLimitPrefix+"a", daemons)]
	assert.Equal(t, bucketOwner.Allow("a", 2500), time.Duration(0))
}
