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

// network connects duties; a daemon in cut neither sends nor receives.
type network struct {
	mu     sync.Mutex
	duties map[string]*Limiter
	cut    map[string]bool
}

func (n *network) send(from string) func(string, *peerpb.Envelope) error {
	return func(to string, m *peerpb.Envelope) error {
		n.mu.Lock()
		d, lost := n.duties[to], n.cut[from] || n.cut[to]
		n.mu.Unlock()
		if !lost {
			go d.OnMessage(from, m)
		}
		return nil
	}
}

func newNetwork(daemons []string, rate, burst float64) *network {
	n := &network{duties: map[string]*Limiter{}, cut: map[string]bool{}}
	for _, name := range daemons {
		n.duties[name] = New(Config{
			Self: name, Send: n.send(name), LiveAll: func() []string { return daemons },
			Bucket: func(*object.ClientAccount, float64) (float64, float64) { return rate, burst },
		})
	}
	for _, d := range n.duties {
		d.tick(time.Now())
		d.SetConfig(&object.Set{ClientAccounts: []object.ClientAccount{{Name: "a", TokensPerSecond: rate}}})
	}
	return n
}

var daemons = []string{"d1", "d2", "d3", "d4"}

// Guards against a small account whose long requests fit into no daemon's part of
// its limit, though they fit into the limit.
func TestLongRequestOfASmallAccountFits(t *testing.T) {
	n := newNetwork(daemons, 1000, 4000)
	keeper := n.duties[rendezvous.Owner(tokenLimit+"a", daemons)]
	assert.Equal(t, n.duties["d1"].take("tokens/none", 10), time.Duration(0))
	// The bucket starts with an eighth of its size and fills.
	keeper.take(tokenLimit+"a", 1)
	time.Sleep(600 * time.Millisecond)
	for _, d := range n.duties {
		if d != keeper {
			assert.Equal(t, d.Allow("a", 700), time.Duration(0))
			wait := d.Allow("a", 3500)
			assert.Assert(t, wait > time.Second && wait < 4*time.Second, "%v", wait)
			return
		}
	}
}

// Guards against daemons that together take more than a limit.
func TestAllDaemonsTogetherKeepTheLimit(t *testing.T) {
	const rate, burst = 20000, 10000
	n := newNetwork(daemons, rate, burst)
	var taken atomic.Int64
	var tasks sync.WaitGroup
	started := time.Now()
	for _, d := range n.duties {
		tasks.Go(func() {
			for time.Since(started) < 500*time.Millisecond {
				if d.Allow("a", 50) == 0 {
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

// Guards against a daemon without its keeper that refuses everything, or that takes
// the whole limit for itself.
func TestCutOffDaemonUsesItsPart(t *testing.T) {
	n := newNetwork(daemons, 4000, 8000)
	keeper := rendezvous.Owner(tokenLimit+"a", daemons)
	for name, d := range n.duties {
		if name == keeper {
			continue
		}
		n.mu.Lock()
		n.cut[name] = true
		n.mu.Unlock()
		assert.Equal(t, d.Allow("a", 100), time.Duration(0))
		assert.Assert(t, d.Allow("a", 900) > 0)
		return
	}
}

// Guards against two keepers in the halves of a partition that hand out the limit
// twice.
func TestKeeperOfAMinorityHandsOutItsPart(t *testing.T) {
	d := New(Config{Self: "d1", Bucket: func(*object.ClientAccount, float64) (float64, float64) { return 1000, 1000 }})
	live := daemons
	d.LiveAll = func() []string { return live }
	now := time.Now()
	d.tick(now)
	assert.Equal(t, d.part(), 1.0)
	live = daemons[:3]
	d.tick(now.Add(time.Second))
	assert.Equal(t, d.part(), 1.0)
	live = daemons[:1]
	d.tick(now.Add(2 * time.Second))
	assert.Equal(t, d.part(), 0.25)
	d.tick(now.Add(2 * memoryTime))
	assert.Equal(t, d.part(), 1.0)
}

// Guards against a bucket that begins to fill with the first request, which refuses
// callers right after a start.
func TestBucketFillsBeforeTheFirstRequest(t *testing.T) {
	n := newNetwork(daemons, 10000, 5000)
	time.Sleep(300 * time.Millisecond)
	keeper := n.duties[rendezvous.Owner(tokenLimit+"a", daemons)]
	assert.Equal(t, keeper.Allow("a", 2500), time.Duration(0))
}
