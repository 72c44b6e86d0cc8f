package rollout

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/marjoramflow/marjoramflow/object"
)

// TrafficSplit chooses the version of each request by the shares of the moves in
// progress. Configurations, move rows and cuts may arrive in any order and more than
// once; a share ends at its deadline without a further message. All methods are safe
// for concurrent use; Pick takes no lock.
type TrafficSplit struct {
	now  func() time.Time
	plan atomic.Pointer[plan]

	mu   sync.Mutex
	set  *object.Set
	rows map[string]newestRow
	cuts map[string]cut
}

// newestRow is the newest known row of a move; sequence is its version in the table, with the era
// of the table.
type newestRow struct {
	sequence uint64
	row      Row
	// doneSince is when the phase done was first seen.
	doneSince time.Time
}

// cut ends all attempts of a move up to and including attempt. It was learnt of at the time at.
type cut struct {
	attempt int
	reason  string
	at      time.Time
}

// crossingTime is the time in which a cut may cross with the end of a move: the daemon that made it
// did not know of the end yet, and the holder that recorded the end did not know of the cut. It
// covers the way of a message between regions.
//
// Other cuts of a move that is done have no effect unless they are in its row: the daemon that made
// one was cut off, and the targets of the old version are stopped once the move is done.
const crossingTime = 500 * time.Millisecond

// crossesUntil returns until when a cut of an attempt that is done holds without being recorded in
// the row. It is zero if the cut did not cross with the end of the attempt.
func (n *newestRow) crossesUntil(c *cut) time.Time {
	if c.at.Sub(n.doneSince).Abs() > crossingTime {
		return time.Time{}
	}
	return n.doneSince.Add(crossingTime)
}

// isCut reports whether an attempt of a move is cut.
func (s *TrafficSplit) isCut(move string, attempt int) (reason string, isCut bool) {
	c, known := s.cuts[move]
	if !known || attempt > c.attempt {
		return "", false
	}
	if n := s.rows[move]; n.row.Phase == Done && n.row.Attempt == attempt && !n.row.Cut && !s.now().Before(n.crossesUntil(&c)) {
		return "", false
	}
	return c.reason, true
}

// plan is the routing state that Pick reads. It is replaced as a whole and never
// changed.
type plan struct {
	services map[string]servicePlan
	active   map[string][]ActiveMove
	// evidenceInterval is the shortest that the moves in the phase Soaking call for.
	evidenceInterval time.Duration
}

// servicePlan holds the base version of a service and its moves by deadline.
type servicePlan struct {
	base  string
	moves []movePlan
}

// movePlan holds what Pick needs of one move.
type movePlan struct {
	from, to string
	done     bool   // all requests get the new version, but none until cutUntil
	share    uint32 // in 1/10,000, until deadline
	deadline time.Time
	cutUntil time.Time
}

// ActiveMove is an attempt in progress, for which evidence is collected.
type ActiveMove struct {
	Move    string
	Service string
	From    string
	To      string
	Attempt int
	// Holder is the daemon to which the evidence is sent. Fence is its fencing number
	// and changes with the holder.
	Holder string
	Fence  uint64
	// Missing lists targets that have not loaded the new version.
	Missing []string
}

// NewTrafficSplit returns a TrafficSplit that uses the system clock and has no configuration.
func NewTrafficSplit() *TrafficSplit {
	return NewTrafficSplitWithClock(time.Now)
}

// NewTrafficSplitWithClock returns a TrafficSplit that uses the given clock and has no configuration.
func NewTrafficSplitWithClock(now func() time.Time) *TrafficSplit {
	s := &TrafficSplit{now: now, rows: make(map[string]newestRow), cuts: make(map[string]cut)}
	s.plan.Store(&plan{evidenceInterval: maxEvidenceInterval})
	return s
}

// Pick returns the version for one request of the service, or "" when the service is
// not known. random must be uniformly distributed over all 64-bit numbers.
func (s *TrafficSplit) Pick(service string, random uint64) string {
	return s.PickRetry(service, "", random)
}

// PickRetry is Pick for a request that failed on a version. It does not return a version that
// is on trial if the request failed on it: the old version still serves, and a second attempt
// would expose the request to the same fault.
func (s *TrafficSplit) PickRetry(service, failed string, random uint64) string {
	p, ok := s.plan.Load().services[service]
	if !ok {
		return ""
	}
	version := p.base
	for i := range p.moves {
		m := &p.moves[i]
		if m.to == failed && !m.done {
			continue
		}
		if m.from == version && m.selectsNew(random, s.now) {
			version = m.to
		}
	}
	return version
}

// selectsNew reports whether a request with this random number gets the new version.
func (m *movePlan) selectsNew(random uint64, now func() time.Time) bool {
	if m.done {
		return m.cutUntil.IsZero() || !now().Before(m.cutUntil)
	}
	if m.share == 0 || uint32((random>>32)*FullShare>>32) >= m.share {
		return false
	}
	return now().Before(m.deadline)
}

// SetConfig applies the configuration in force. The set must not be changed
// afterwards. Rows and cuts of moves that left the configuration are discarded.
func (s *TrafficSplit) SetConfig(set *object.Set) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.set != nil {
		s.dropRemovedMoves(s.set, set)
	}
	s.set = set
	s.rebuild()
}

// dropRemovedMoves discards the rows and cuts of moves that are in before and not in
// after. The caller holds mu.
func (s *TrafficSplit) dropRemovedMoves(before, after *object.Set) {
	remaining := make(map[string]bool, len(after.Moves))
	for i := range after.Moves {
		remaining[after.Moves[i].Name] = true
	}
	for i := range before.Moves {
		if name := before.Moves[i].Name; !remaining[name] {
			delete(s.rows, name)
			delete(s.cuts, name)
		}
	}
}

// ApplyRow applies a row of a move; sequence is the row's version in the table. It
// reports whether the row was newer than the known one; the caller should then pass
// it on to the peers. A row that a restored table shows again is not newer. An error
// means that data is not a valid row.
func (s *TrafficSplit) ApplyRow(move string, sequence uint64, data []byte) (bool, error) {
	row, err := DecodeRow(data)
	if err != nil {
		return false, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	next := newestRow{sequence: sequence, row: row, doneSince: s.now()}
	if current, ok := s.rows[move]; ok {
		if !next.replaces(current) {
			return false, nil
		}
		if current.row.Phase == Done && current.row.Attempt == row.Attempt {
			next.doneSince = current.doneSince
		}
	}
	s.rows[move] = next
	s.rebuild()
	return true, nil
}

// ApplyCut permanently sets the share of an attempt, and of those before it, to zero.
// It reports whether the cut was new; the caller should then pass it on to the peers. A cut of
// a move that was done before has no effect, see crossingTime.
func (s *TrafficSplit) ApplyCut(move string, attempt int, reason string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if current, ok := s.cuts[move]; ok && attempt <= current.attempt {
		return false
	}
	next := cut{attempt: attempt, reason: reason, at: s.now()}
	if n := s.rows[move]; n.row.Phase == Done && n.row.Attempt == attempt && n.crossesUntil(&next).IsZero() {
		return false
	}
	s.cuts[move] = next
	s.rebuild()
	return true
}

// Row returns the newest known row of a move with its sequence.
func (s *TrafficSplit) Row(move string) (row Row, sequence uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest, ok := s.rows[move]
	return newest.row, newest.sequence, ok
}

// CutReason returns the reason of the cut of an attempt; ok is false if the attempt is
// not cut.
func (s *TrafficSplit) CutReason(move string, attempt int) (reason string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isCut(move, attempt)
}

// MayCross reports whether a move has ended so recently that a cut which crosses with its end may
// still arrive.
func (s *TrafficSplit) MayCross(move string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.rows[move]
	return n.row.Phase == Done && s.now().Sub(n.doneSince) < crossingTime
}

// KnownRow is a row in the form in which it is sent to a peer.
type KnownRow struct {
	Move     string
	Sequence uint64
	Row      []byte
}

// Snapshot returns all rows and cuts, for a peer whose session has just begun.
func (s *TrafficSplit) Snapshot() (rows []KnownRow, cuts []CutShare) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for move, newest := range s.rows {
		rows = append(rows, KnownRow{Move: move, Sequence: newest.sequence, Row: newest.row.Encode()})
	}
	for move, c := range s.cuts {
		if _, holds := s.isCut(move, c.attempt); !holds {
			continue
		}
		cuts = append(cuts, CutShare{Move: move, Attempt: c.attempt, Reason: c.reason})
	}
	return rows, cuts
}

// Active returns the attempts of a service for which evidence is collected. The result
// is shared and must not be changed. Active takes no lock.
func (s *TrafficSplit) Active(service string) []ActiveMove {
	return s.plan.Load().active[service]
}

// EvidenceInterval returns the time between two evidence messages. It depends on the moves that
// soak. It takes no lock.
func (s *TrafficSplit) EvidenceInterval() time.Duration {
	return s.plan.Load().evidenceInterval
}

// rebuild replaces the plan by one computed from the configuration, rows and cuts. The
// caller holds mu.
func (s *TrafficSplit) rebuild() {
	if s.set == nil {
		return
	}
	next := &plan{
		services: make(map[string]servicePlan, len(s.set.Services)),
		active:   make(map[string][]ActiveMove),

		evidenceInterval: maxEvidenceInterval,
	}
	for i := range s.set.Services {
		service := &s.set.Services[i]
		next.services[service.Name] = servicePlan{base: service.Version}
	}
	for i := range s.set.Moves {
		s.addMove(next, &s.set.Moves[i])
	}
	for _, p := range next.services {
		// Pick applies consecutive moves of one service in this order.
		slices.SortStableFunc(p.moves, func(a, b movePlan) int { return a.deadline.Compare(b.deadline) })
	}
	s.plan.Store(next)
}

// addMove adds a move to a new plan. It skips a move whose row is missing or has other
// versions, whose attempt was cut or reversed, or whose row is not done and belongs to
// another attempt. The caller holds mu.
func (s *TrafficSplit) addMove(next *plan, m *object.Move) {
	p, ok := next.services[m.Service]
	newest, known := s.rows[m.Name]
	if !ok || !known || newest.row.From != m.From || newest.row.To != m.To {
		return
	}
	row := newest.row
	c, hasCut := s.cuts[m.Name]
	_, isCut := s.isCut(m.Name, row.Attempt)
	if row.Cut || row.Phase == Reversed || (isCut && row.Phase != Done) {
		return
	}
	if row.Phase != Done && row.Attempt != m.Attempt {
		return
	}
	move := movePlan{from: m.From, to: m.To, done: row.Phase == Done, share: row.Share, deadline: row.Deadline}
	if move.done && hasCut && row.Attempt <= c.attempt {
		move.cutUntil = newest.crossesUntil(&c)
	}
	p.moves = append(p.moves, move)
	next.services[m.Service] = p
	if row.Phase == Soaking && m.Soak > 0 {
		next.evidenceInterval = min(next.evidenceInterval, evidenceInterval(m.Soak))
	}
	if !row.Phase.Final() {
		next.active[m.Service] = append(next.active[m.Service], ActiveMove{
			Move: m.Name, Service: m.Service, From: m.From, To: m.To,
			Attempt: row.Attempt, Holder: row.Holder, Fence: row.Fence, Missing: row.Missing,
		})
	}
}
