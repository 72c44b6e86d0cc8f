package upstream

import (
	"errors"
	"time"
)

// sameTime is the longest time between the ends of two connections that count as ended
// together. The kernel ends those of a killed process within milliseconds.
const sameTime = 50 * time.Millisecond

// errAllConnectionsEnded means that a target accepts connections, but ended all others that
// were in use, as one does that was killed and started again.
var errAllConnectionsEnded = errors.New("all connections to the target ended at the same time")

// addressState holds the exchanges with one address.
type addressState struct {
	// open holds the exchanges that are in progress.
	open map[*Exchange]bool
	// lastEnded is the exchange whose connection the target ended last, at lastEndAt. The
	// connection of another one ended at earlierEndAt.
	lastEnded               *Exchange
	lastEndAt, earlierEndAt time.Time
}

// addExchange records an exchange in progress.
func (p *Pool) addExchange(e *Exchange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.exchanges[e.call.Address]
	if s == nil {
		s = &addressState{open: make(map[*Exchange]bool)}
		p.exchanges[e.call.Address] = s
	}
	s.open[e] = true
}

// recordRemoteEnd records that the target ended the connection of an exchange in progress.
func (p *Pool) recordRemoteEnd(e *Exchange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.exchanges[e.call.Address]
	if s == nil || !s.open[e] {
		return
	}
	delete(s.open, e)
	s.earlierEndAt, s.lastEnded, s.lastEndAt = s.lastEndAt, e, time.Now()
}

// removeExchange records the end of an exchange.
func (p *Pool) removeExchange(e *Exchange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.exchanges[e.call.Address]; s != nil {
		delete(s.open, e)
	}
}

// endedWithOthers reports whether the connection of e, which the target ended at endedAt, ended
// together with those of all other exchanges in progress. Without another exchange, or if the
// last one ended before e began, it reports false.
func (p *Pool) endedWithOthers(e *Exchange, endedAt time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.exchanges[e.call.Address]
	if s == nil {
		return false
	}
	for other := range s.open {
		if !other.sentAt.After(endedAt) {
			return false
		}
	}
	otherEndAt := s.lastEndAt
	if s.lastEnded == e {
		otherEndAt = s.earlierEndAt
	}
	return !otherEndAt.Before(e.sentAt) && endedAt.Sub(otherEndAt).Abs() <= sameTime
}

// forgetAddresses removes the states without an exchange whose last one ended a while ago.
// The caller holds mu.
func (p *Pool) forgetAddresses(now time.Time) {
	for address, s := range p.exchanges {
		if len(s.open) == 0 && now.Sub(s.lastEndAt) > sweepInterval {
			delete(p.exchanges, address)
		}
	}
}
