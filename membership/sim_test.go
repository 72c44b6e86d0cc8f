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
	t        testing.TB
	random   *rand.Rand
	now      time.Time
	start    time.Time
	events   eventQueue
	sequence int
	nodes    map[string]*simNode
	names    []string
	// loss is the share of gossip messages that are lost.
	loss float64
	// partitioned reports whether two data centres cannot reach each other.
	partitioned func(a, b string) bool
	bytes       int
	list        []provider.VM
}

type simNode struct {
	name, dataCentre string
	table            *Table
	alive            bool
	pausedUntil      time.Time
	sessions         map[string]bool
	queuedInputs     []func()
	// wrongRemovals describes the removals by this node of daemons that ran and
	// could be reached.
	wrongRemovals []string
}

type simEvent struct {
	at       time.Time
	sequence int
	run      func()
}

type eventQueue []simEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].sequence < q[j].sequence
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
		t:           t,
		random:      rand.New(rand.NewPCG(seed, 1)),
		now:         time.Unix(1_700_000_000, 0),
		nodes:       map[string]*simNode{},
		partitioned: func(string, string) bool { return false },
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
	s.perform(n, n.table.SetVMList(s.now, s.list))
	s.schedule(time.Duration(s.random.Int64N(int64(TickInterval))), func() { s.tick(n) })
}

// schedule adds an event that runs after a delay.
func (s *simulation) schedule(delay time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.events, simEvent{at: s.now.Add(delay), sequence: s.sequence, run: run})
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

// runUntil runs until the condition returns no problem, checked every 100 ms, and
// returns the virtual time that this took. It fails the test after limit.
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
	s.schedule(TickInterval, func() { s.tick(n) })
	s.deliver(n, func() { s.perform(n, n.table.Tick(s.now)) })
}

// deliver passes an input to a node, or queues it while the node is paused.
func (s *simulation) deliver(n *simNode, input func()) {
	switch {
	case !n.alive:
	case n.pausedUntil.After(s.now):
		n.queuedInputs = append(n.queuedInputs, input)
	default:
		input()
	}
}

// pause stops a node for a time; its inputs are queued.
func (s *simulation) pause(n *simNode, d time.Duration) {
	n.pausedUntil = s.now.Add(d)
	s.schedule(d, func() {
		if !n.alive {
			return
		}
		// A process that resumes runs one tick before its queued inputs.
		queued := n.queuedInputs
		n.queuedInputs = nil
		s.perform(n, n.table.Tick(s.now))
		for _, input := range queued {
			input()
		}
	})
}

func (s *simulation) connected(a, b *simNode) bool {
	return a.alive && b.alive && !s.partitioned(a.dataCentre, b.dataCentre)
}

func latency(a, b *simNode) time.Duration {
	if a.dataCentre == b.dataCentre {
		return time.Millisecond
	}
	return 12 * time.Millisecond
}

// perform does what a table asks for.
func (s *simulation) perform(n *simNode, actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case Probe:
			s.openSession(n, s.nodes[a.To])
		case Gossip:
			for _, to := range a.To {
				s.gossip(n, s.nodes[to], a.Members)
			}
		case MemberChanged:
			s.checkRemoval(n, a)
		}
	}
}

// checkRemoval records the removal of a daemon that runs and can be reached.
func (s *simulation) checkRemoval(n *simNode, c MemberChanged) {
	other := s.nodes[c.Member.Name]
	if c.Member.State == Dead && s.connected(n, other) && !other.pausedUntil.After(s.now.Add(-GracePeriod)) &&
		other.table.Self().State == Alive {
		n.wrongRemovals = append(n.wrongRemovals, fmt.Sprintf("%v %s removed %s", s.now.Sub(s.start), n.name, c.Member.Name))
	}
}

// openSession opens a session when the other node answers.
func (s *simulation) openSession(a, b *simNode) {
	if b == nil || a.sessions[b.name] || !s.connected(a, b) || b.pausedUntil.After(s.now) {
		return
	}
	a.sessions[b.name], b.sessions[a.name] = true, true
	s.schedule(3*latency(a, b), func() {
		for _, pair := range [][2]*simNode{{a, b}, {b, a}} {
			n, other := pair[0], pair[1]
			s.deliver(n, func() { s.perform(n, n.table.SessionUp(s.now, other.table.Self())) })
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
		s.schedule(3*time.Second, func() { s.closeSession(a, b) })
		return
	}
	paused := a.pausedUntil.After(s.now) || b.pausedUntil.After(s.now)
	if !paused {
		s.deliver(a, func() { s.perform(a, a.table.FrameReceived(s.now, b.name)) })
		s.deliver(b, func() { s.perform(b, b.table.FrameReceived(s.now, a.name)) })
	}
	pauseLeft := max(a.pausedUntil.Sub(s.now), b.pausedUntil.Sub(s.now))
	if pauseLeft > 3*time.Second {
		s.schedule(3*time.Second, func() { s.closeSession(a, b) })
		return
	}
	s.schedule(time.Second, func() { s.ping(a, b) })
}

func (s *simulation) closeSession(a, b *simNode) {
	delete(a.sessions, b.name)
	delete(b.sessions, a.name)
	for _, pair := range [][2]*simNode{{a, b}, {b, a}} {
		n, other := pair[0], pair[1]
		s.deliver(n, func() { s.perform(n, n.table.SessionDown(s.now, other.name)) })
	}
}

func (s *simulation) gossip(a, b *simNode, members []Member) {
	if b == nil || !s.connected(a, b) {
		return
	}
	if !a.sessions[b.name] {
		// Send reports ErrNoSession and starts dialling; the message is lost.
		s.openSession(a, b)
		return
	}
	message := &peerpb.Envelope{Body: &peerpb.Envelope_Members{Members: ToProto(members)}}
	s.bytes += proto.Size(message)
	if s.random.Float64() < s.loss {
		return
	}
	received := FromProto(message.GetMembers())
	s.schedule(latency(a, b), func() {
		s.deliver(b, func() { s.perform(b, b.table.Merge(s.now, a.name, received)) })
	})
}

func (s *simulation) kill(name string) {
	s.nodes[name].alive = false
}

// agreeOn returns a condition: every running daemon for which want holds lists
// exactly these daemons as live.
func (s *simulation) agreeOn(want func(*simNode) bool) func() string {
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

func allNodes(*simNode) bool { return true }

func (s *simulation) assertNoWrongRemovals() {
	s.t.Helper()
	for _, name := range s.names {
		if r := s.nodes[name].wrongRemovals; len(r) > 0 {
			s.t.Fatalf("running daemons were removed: %v", r)
		}
	}
}
