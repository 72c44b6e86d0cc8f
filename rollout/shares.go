package rollout

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/marjoramflow/marjoramflow/object"
)

// Shares chooses the version of each request. It is fed with configurations,
// move rows and cuts, in any order and repeated, and applies the deadline by
// itself. All methods are safe for concurrent use; Pick takes no lock.
type Shares struct {
	now  func() time.Time
	plan atomic.Pointer[plan]

	mu   sync.Mutex
	set  *object.Set
	rows map[string]seenRow
	cuts map[string]cut
}

// seenRow is the newest row of a move; sequence is its version in the table.
type seenRow struct {
	sequence uint64
	row      Row
}

// cut ends all attempts of a move up to and including attempt.
type cut struct {
	attempt int
	reason  string
}

// plan is what Pick reads. It is replaced as a whole and never changed.
type plan struct {
	services map[string]servicePlan
	active   map[string][]ActiveMove
}

type servicePlan struct {
	base  string
	moves []movePlan
}

type movePlan struct {
	from, to string
	done     bool
	share    uint32
	deadline time.Time
}

// ActiveMove is an attempt whose evidence is counted.
type ActiveMove struct {
	Move    string
	Service string
	From    string
	To      string
	Attempt int
	// Holder gets the evidence; Fence changes when the holder does.
	Holder string
	Fence  uint64
	// Missing lists targets that have not loaded the new version.
	Missing []string
}

// NewShares returns shares on the system clock without a configuration.
func NewShares() *Shares {
	return NewSharesAt(time.Now)
}

// NewSharesAt returns shares on the given clock.
func NewSharesAt(now func() time.Time) *Shares {
	s := &Shares{now: now, rows: make(map[string]seenRow), cuts: make(map[string]cut)}
	s.plan.Store(&plan{})
	return s
}

// Pick returns the version for one request of the service, "" when the service
// is not known. random must be uniform over all 64-bit numbers.
func (s *Shares) Pick(service string, random uint64) string {
	p, ok := s.plan.Load().services[service]
	if !ok {
		return ""
	}
	version := p.base
	for i := range p.moves {
		m := &p.moves[i]
		if m.from == version && m.takes(random, s.now) {
			version = m.to
		}
	}
	return version
}

func (m *movePlan) takes(random uint64, now func() time.Time) bool {
	if m.done {
		return true
	}
	if m.share == 0 || uint32((random>>32)*FullShare>>32) >= m.share {
		return false
	}
	return now().Before(m.deadline)
}

// SetConfig takes in the configuration in force. The set must not be changed
// afterwards. Rows and cuts of moves that left the configuration are forgotten.
func (s *Shares) SetConfig(set *object.Set) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.set != nil {
		s.forget(s.set, set)
	}
	s.set = set
	s.rebuild()
}

func (s *Shares) forget(before, after *object.Set) {
	kept := make(map[string]bool, len(after.Moves))
	for i := range after.Moves {
		kept[after.Moves[i].Name] = true
	}
	for i := range before.Moves {
		if name := before.Moves[i].Name; !kept[name] {
			delete(s.rows, name)
			delete(s.cuts, name)
		}
	}
}

// ApplyRow takes in a row of a move; sequence is the row's version in the table.
// It reports whether the row was newer than what was known, so that it should be
// passed on.
func (s *Shares) ApplyRow(move string, sequence uint64, data []byte) (bool, error) {
	row, err := DecodeRow(data)
	if err != nil {
		return false, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if have, ok := s.rows[move]; ok && sequence <= have.sequence {
		return false, nil
	}
	s.rows[move] = seenRow{sequence: sequence, row: row}
	s.rebuild()
	return true, nil
}

// ApplyCut sets the share of an attempt to zero for good. It reports whether the
// cut was new, so that it should be passed on.
func (s *Shares) ApplyCut(move string, attempt int, reason string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if have, ok := s.cuts[move]; ok && attempt <= have.attempt {
		return false
	}
	s.cuts[move] = cut{attempt: attempt, reason: reason}
	s.rebuild()
	return true
}

// NotifyRow returns the newest row of a move with its sequence.
func (s *Shares) Row(move string) (row Row, sequence uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen, ok := s.rows[move]
	return seen.row, seen.sequence, ok
}

// CutReason returns the reason of the cut of an attempt.
func (s *Shares) CutReason(move string, attempt int) (reason string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.cuts[move]
	if !ok || attempt > c.attempt {
		return "", false
	}
	return c.reason, true
}

// KnownRow is a row as it is passed to a peer.
type KnownRow struct {
	Move     string
	Sequence uint64
	Row      []byte
}

// Snapshot returns all rows and cuts, for a peer whose session has just begun.
func (s *Shares) Snapshot() (rows []KnownRow, cuts []CutShare) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for move, seen := range s.rows {
		rows = append(rows, KnownRow{Move: move, Sequence: seen.sequence, Row: seen.row.Encode()})
	}
	for move, c := range s.cuts {
		cuts = append(cuts, CutShare{Move: move, Attempt: c.attempt, Reason: c.reason})
	}
	return rows, cuts
}

// Active returns the attempts of a service whose evidence is counted. The result
// is shared and must not be changed. It takes no lock.
func (s *Shares) Active(service string) []ActiveMove {
	return s.plan.Load().active[service]
}

// rebuild computes a new plan. The caller holds mu.
func (s *Shares) rebuild() {
	if s.set == nil {
		return
	}
	next := &plan{
		services: make(map[string]servicePlan, len(s.set.Services)),
		active:   make(map[string][]ActiveMove),
	}
	for i := range s.set.Services {
		service := &s.set.Services[i]
		next.services[service.Name] = servicePlan{base: service.Version}
	}
	for i := range s.set.Moves {
		s.addMove(next, &s.set.Moves[i])
	}
	for _, p := range next.services {
		// Moves that follow each other on one service are passed in this order.
		slices.SortStableFunc(p.moves, func(a, b movePlan) int { return a.deadline.Compare(b.deadline) })
	}
	s.plan.Store(next)
}

func (s *Shares) addMove(next *plan, m *object.Move) {
	p, ok := next.services[m.Service]
	seen, known := s.rows[m.Name]
	if !ok || !known || seen.row.From != m.From || seen.row.To != m.To {
		return
	}
	row := seen.row
	c, isCut := s.cuts[m.Name]
	if row.Cut || (isCut && row.Attempt <= c.attempt) || row.Phase == Reversed {
		return
	}
	if row.Phase != Done && row.Attempt != m.Attempt {
		return
	}
	p.moves = append(p.moves, movePlan{
		from: m.From, to: m.To, done: row.Phase == Done, share: row.Share, deadline: row.Deadline,
	})
	next.services[m.Service] = p
	if !row.Phase.Final() {
		next.active[m.Service] = append(next.active[m.Service], ActiveMove{
			Move: m.Name, Service: m.Service, From: m.From, To: m.To,
			Attempt: row.Attempt, Holder: row.Holder, Fence: row.Fence, Missing: row.Missing,
		})
	}
}
