package pollers

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marjoramflow/marjoramflow/catalog"
	"github.com/marjoramflow/marjoramflow/peer/peerpb"
	"github.com/marjoramflow/marjoramflow/rendezvous"
)

var here = []string{"d1", "d2", "d3", "d4", "d5"}

// mesh connects duties and counts the messages.
type mesh struct {
	mu       sync.Mutex
	duties   map[string]*Duty
	messages int
}

func (m *mesh) send(to string, e *peerpb.Envelope) error {
	m.mu.Lock()
	d := m.duties[to]
	m.messages++
	m.mu.Unlock()
	d.OnMessage(e)
	return nil
}

// inMesh runs the duties of a data centre in a bubble for a test; ranked are their names
// in the order in which they become pollers.
func inMesh(t *testing.T, test func(m *mesh, ranked []string)) {
	synctest.Test(t, func(t *testing.T) {
		m := &mesh{duties: make(map[string]*Duty)}
		for _, name := range here {
			m.duties[name] = New(Config{Self: name, DataCentre: "a", Here: func() []string { return here }, Send: m.send})
		}
		ctx, cancel := context.WithCancel(t.Context())
		var tasks sync.WaitGroup
		for _, d := range m.duties {
			tasks.Go(func() { _ = d.Run(ctx) })
		}
		test(m, rendezvous.Rank("a", here))
		cancel()
		tasks.Wait()
	})
}

func answer(d *Duty, operator, registry uint64) {
	d.Answered(catalog.Operator, operator)
	d.Answered(catalog.Registry, registry)
}

// Guards against a change that reaches a daemon late because a poller tells it only at
// the next turn, and against daemons that are not pollers and tell others.
func TestPollersTellAtOnce(t *testing.T) {
	inMesh(t, func(m *mesh, ranked []string) {
		answer(m.duties[ranked[2]], 9, 9)
		assert.Equal(t, m.messages, 0)
		answer(m.duties[ranked[0]], 3, 0)
		answer(m.duties[ranked[0]], 4, 7)
		last := m.duties[ranked[4]]
		assert.Equal(t, last.Told(catalog.Operator), uint64(4))
		assert.Equal(t, last.Told(catalog.Registry), uint64(7))
		assert.Assert(t, last.Covered())
		assert.Assert(t, !m.duties[ranked[0]].Covered())
		assert.Assert(t, !m.duties[ranked[1]].Covered())
	})
}

// Guards against daemons that rely on pollers which the store does not answer any more.
func TestPollerWithoutAnswersCoversNobody(t *testing.T) {
	inMesh(t, func(m *mesh, ranked []string) {
		answer(m.duties[ranked[0]], 3, 7)
		time.Sleep(2 * time.Second)
		assert.Assert(t, m.duties[ranked[3]].Covered())
		time.Sleep(4 * time.Second)
		assert.Assert(t, !m.duties[ranked[3]].Covered())
	})
}
