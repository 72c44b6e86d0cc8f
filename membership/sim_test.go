package membership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/marjoramflow/marjoramflow/peer/peerpb"
	"github.com/marjoramflow/marjoramflow/provider"
)

// simulation drives many tables in one goroutine with virtual time. It models
// sessions, pings, message loss, pauses, kills and partitions.
type simulation struct {
	t      testing.TB
	random *rand.Rand
	now    time.Time
	start  time.Time
	events eventQueue
	order  int
	nodes  map[string]*simNode
	names  []string
	// loss is the share of gossip messages that vanish.
	loss float64
	// blocked tells whether two data centres are cut off from each other.
	blocked func(a, b string) bool
	bytes   int
	list    []provider.VM
}

type simNode struct {
	name, dataCentre string
	table            *Table
	alive            bool
	pausedUntil      time.Time
	sessions         map[string]bool
	queued           []func()
	// removals counts live members that this node removed wrongly.
	removals []string
}

type simEvent struct {
	at    time.Time
	order int
	run   func()
}

type eventQueue []simEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

func newSimulation(t testing.TB, seed uint64, sizes map[string]int) *simulation {
	s := &simulation{
		t:       t,
		random:  rand.New(rand.NewPCG(seed, 1)),
		now:     time.Unix(1_700_000_000, 0),
		nodes:   map[string]*simNode{},
		blocked: func(string, string) bool { return false },
	}
	s.start = s.now
	dataCentres := make([]string, 0, len(sizes))
	for dataCentre := range sizes {
		dataCentres = append(dataCentres, dataCentre)
	}
	slices.Sort(dataCentres)
	for _, dataCentre := range dataCentres {
		for i := range sizes[dataCentre] {
			name := fmt.Sprintf("%s-%03d", dataCentre, i)
			s.names = append(s.names, name)
			s.list = append(s.list, provider.VM{
				Name: name, Address: fmt.Sprintf("10.0.%d.%d:7070", len(s.list)/250, len(s.list)%250),
				DataCentre: dataCentre, Role: provider.RoleEntry, State: provider.VMLive,
			})
		}
	}
	for i, name := range s.names {
		s.boot(name, s.list[i].DataCentre)
	}
	return s
}

// boot starts a daemon, or starts it again with a new incarnation.
func (s *simulation) boot(name, dataCentre string) {
	self := Member{
		Name: name, Address: "10.0.0.1:7070", DataCentre: dataCentre, Incarnation: uint64(s.now.UnixMilli()),
	}
	n := &simNode{name: name, dataCentre: dataCentre, alive: true, sessions: map[string]bool{}}
	n.table = NewTable(Config{Self: self, Random: rand.New(rand.NewPCG(s.random.Uint64(), 2))}, s.now)
	s.nodes[name] = n
	s.act(n, n.table.SetList(s.now, s.list))
	s.at(time.Duration(s.random.Int64N(int64(TickInterval))), func() { s.tick(n) })
}

func (s *simulation) at(delay time.Duration, run func()) {
	s.order++
	heap.Push(&s.events, simEvent{at: s.now.Add(delay), order: s.order, run: run})
}

func (s *simulation) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.run()
	}
	s.now = end
}

// runUntil returns the time until the condition holds, checked every 100 ms.
func (s *simulation) runUntil(limit time.Duration, condition func() string) time.Duration {
	s.t.Helper()
	start := s.now
	for {
		problem := condition()
		if problem == "" {
			return s.now.Sub(start)
		}
		if s.now.Sub(start) >= limit {
			s.t.Fatalf("not reached within %v: %s", limit, problem)
		}
		s.run(100 * time.Millisecond)
	}
}

func (s *simulation) tick(n *simNode) {
	if !n.alive {
		return
	}
	s.at(TickInterval, func() { s.tick(n) })
	s.deliver(n, func() { s.act(n, n.table.Tick(s.now)) })
}

// deliver runs an input of a node, after its pause when it is paused.
func (s *simulation) deliver(n *simNode, input func()) {
	switch {
	case !n.alive:
	case n.pausedUntil.After(s.now):
		n.queued = append(n.queued, input)
	default:
		input()
	}
}

func (s *simulation) pause(n *simNode, d time.Duration) {
	n.pausedUntil = s.now.Add(d)
	s.at(d, func() {
		if !n.alive {
			return
		}
		// A process that wakes up sees one tick and then what was queued.
		queued := n.queued
		n.queued = nil
		s.act(n, n.table.Tick(s.now))
		for _, input := range queued {
			input()
		}
	})
}

func (s *simulation) connected(a, b *simNode) bool {
	return a.alive && b.alive && !s.blocked(a.dataCentre, b.dataCentre)
}

func latency(a, b *simNode) time.Duration {
	if a.dataCentre == b.dataCentre {
		return time.Millisecond
	}
	return 12 * time.Millisecond
}

func (s *simulation) act(n *simNode, actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case Probe:
			s.open(n, s.nodes[a.To])
		case Gossip:
			for _, to := range a.To {
				s.gossip(n, s.nodes[to], a.Members)
			}
		case Changed:
			s.check(n, a)
		}
	}
}

// check records the removal of a daemon that runs and can be reached.
func (s *simulation) check(n *simNode, c Changed) {
	other := s.nodes[c.Member.Name]
	if c.Member.State == Dead && s.connected(n, other) && !other.pausedUntil.After(s.now.Add(-GracePeriod)) &&
		other.table.Self().State == Alive {
		n.removals = append(n.removals, fmt.Sprintf("%v %s removed %s", s.now.Sub(s.start), n.name, c.Member.Name))
	}
}

// open makes a session when the other side answers.
func (s *simulation) open(a, b *simNode) {
	if b == nil || a.sessions[b.name] || !s.connected(a, b) || b.pausedUntil.After(s.now) {
		return
	}
	a.sessions[b.name], b.sessions[a.name] = true, true
	s.at(3*latency(a, b), func() {
		for _, pair := range [][2]*simNode{{a, b}, {b, a}} {
			n, other := pair[0], pair[1]
			s.deliver(n, func() { s.act(n, n.table.SessionUp(s.now, other.table.Self())) })
		}
		s.ping(a, b)
	})
}

// ping models the frames of an idle session: one a second in each direction,
// and an end after 3 s of silence.
func (s *simulation) ping(a, b *simNode) {
	if !a.sessions[b.name] || s.nodes[a.name] != a || s.nodes[b.name] != b {
		return
	}
	if !s.connected(a, b) {
		s.at(3*time.Second, func() { s.close(a, b) })
		return
	}
	paused := a.pausedUntil.After(s.now) || b.pausedUntil.After(s.now)
	if !paused {
		s.deliver(a, func() { s.act(a, a.table.Heard(s.now, b.name)) })
		s.deliver(b, func() { s.act(b, b.table.Heard(s.now, a.name)) })
	}
	until := max(a.pausedUntil.Sub(s.now), b.pausedUntil.Sub(s.now))
	if until > 3*time.Second {
		s.at(3*time.Second, func() { s.close(a, b) })
		return
	}
	s.at(time.Second, func() { s.ping(a, b) })
}

func (s *simulation) close(a, b *simNode) {
	delete(a.sessions, b.name)
	delete(b.sessions, a.name)
	for _, pair := range [][2]*simNode{{a, b}, {b, a}} {
		n, other := pair[0], pair[1]
		s.deliver(n, func() { s.act(n, n.table.SessionDown(s.now, other.name)) })
	}
}

func (s *simulation) gossip(a, b *simNode, members []Member) {
	if b == nil || !s.connected(a, b) {
		return
	}
	if !a.sessions[b.name] {
		// Send reports ErrNoSession and starts dialling; the message is lost.
		s.open(a, b)
		return
	}
	message := &peerpb.Envelope{Body: &peerpb.Envelope_Members{Members: ToProto(members)}}
	s.bytes += proto.Size(message)
	if s.random.Float64() < s.loss {
		return
	}
	received := FromProto(message.GetMembers())
	s.at(latency(a, b), func() {
		s.deliver(b, func() { s.act(b, b.table.Merge(s.now, a.name, received)) })
	})
}

func (s *simulation) kill(name string) {
	s.nodes[name].alive = false
}

// agree checks that every running daemon lists exactly the given daemons.
func (s *simulation) agree(want func(*simNode) bool) func() string {
	return func() string {
		live := map[string][]string{}
		for _, name := range s.names {
			if n := s.nodes[name]; n.alive && want(n) {
				live[n.dataCentre] = append(live[n.dataCentre], name)
			}
		}
		for _, name := range s.names {
			n := s.nodes[name]
			if !n.alive || !want(n) {
				continue
			}
			for dataCentre, names := range live {
				got, _ := n.table.Live(dataCentre)
				if !slices.Equal(got, names) {
					return fmt.Sprintf("%s lists %d of %s, want %d; differs by %v", name, len(got), dataCentre, len(names), difference(got, names))
				}
			}
		}
		return ""
	}
}

func difference(a, b []string) []string {
	var d []string
	for _, x := range a {
		if !slices.Contains(b, x) {
			d = append(d, "+"+x)
		}
	}
	for _, x := range b {
		if !slices.Contains(a, x) {
			d = append(d, "-"+x)
		}
	}
	return d
}

func everyone(*simNode) bool { return true }

func (s *simulation) noWrongRemovals() {
	s.t.Helper()
	for _, name := range s.names {
		if r := s.nodes[name].removals; len(r) > 0 {
			s.t.Fatalf("running daemons were removed: %v", r)
		}
	}
}
