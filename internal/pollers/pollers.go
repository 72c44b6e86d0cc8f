// Package pollers spares the platform's store: in each data centre, a few daemons ask
// it for changes often and tell the others which revisions they have seen. The others
// ask seldom, and ask at once when they hear of a revision that they lack.
//
// The pollers are the first live daemons by rank, so that all agree on them without a
// message. A poller whose calls fail falls silent, and the others ask often themselves.
package pollers

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/marjoramflow/marjoramflow/catalog"
	"github.com/marjoramflow/marjoramflow/peer/peerpb"
	"github.com/marjoramflow/marjoramflow/rendezvous"
)

const (
	// perDataCentre is the number of pollers in a data centre; one may fail.
	perDataCentre = 2
	// tellInterval is the time between two messages of a poller without a change.
	tellInterval = time.Second
	// answerAge is the age of the last answer above which a poller falls silent: its
	// calls last up to 2.2 s.
	answerAge = 2500 * time.Millisecond
	// coverTime is the time after the last message for which a daemon counts as
	// covered. With the 250 ms in which it notices, a daemon whose connections all went
	// silent asks anew within the 4 s after which it has to be up to date.
	coverTime = 2500 * time.Millisecond
	// topicCount is the number of topics of a source.
	topicCount = 2
)

// Config holds the parts of a Duty. All are required.
type Config struct {
	Self       string
	DataCentre string
	// Here returns the live daemons of the own data centre, this one included.
	Here func() []string
	Send func(to string, m *peerpb.Envelope) error
}

// Duty implements catalog.Peers. Its methods are safe for concurrent use.
type Duty struct {
	Config

	mu sync.Mutex
	// heard is when a poller told its revisions last.
	heard    time.Time
	told     [topicCount]uint64
	seen     [topicCount]uint64
	answered [topicCount]time.Time
}

// New returns a duty that has heard of nobody.
func New(config Config) *Duty {
	return &Duty{Config: config}
}

// Run tells the others the revisions that this daemon has seen, while it is a poller,
// until the context ends.
func (d *Duty) Run(ctx context.Context) error {
	ticker := time.NewTicker(tellInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			d.tell(now)
		}
	}
}

// tell sends the revisions to the other daemons of the data centre.
func (d *Duty) tell(now time.Time) {
	here := d.Here()
	if !d.polls(here) || !d.follows(now) {
		return
	}
	d.mu.Lock()
	message := &peerpb.Envelope{Body: &peerpb.Envelope_SourceRevision{SourceRevision: &peerpb.SourceRevision{
		Operator: d.seen[catalog.Operator],
		Registry: d.seen[catalog.Registry],
	}}}
	d.mu.Unlock()
	for _, name := range here {
		if name != d.Self {
			// A daemon that hears of no poller asks the store itself.
			_ = d.Send(name, message)
		}
	}
}

// polls reports whether this daemon is a poller.
func (d *Duty) polls(here []string) bool {
	ranked := rendezvous.Rank(d.DataCentre, here)
	return slices.Contains(ranked[:min(perDataCentre, len(ranked))], d.Self)
}

// follows reports whether the source has answered lately on every topic.
func (d *Duty) follows(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, at := range d.answered {
		if at.IsZero() || now.Sub(at) > answerAge {
			return false
		}
	}
	return true
}

// OnMessage takes the revisions of a poller. It says whether the message was one.
func (d *Duty) OnMessage(m *peerpb.Envelope) bool {
	body, ok := m.Body.(*peerpb.Envelope_SourceRevision)
	if !ok {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.heard = time.Now()
	d.told[catalog.Operator] = max(d.told[catalog.Operator], body.SourceRevision.Operator)
	d.told[catalog.Registry] = max(d.told[catalog.Registry], body.SourceRevision.Registry)
	return true
}

// Covered implements catalog.Peers. A poller asks often itself.
func (d *Duty) Covered() bool {
	d.mu.Lock()
	recent := time.Since(d.heard) <= coverTime
	d.mu.Unlock()
	return recent && !d.polls(d.Here())
}

// Told implements catalog.Peers.
func (d *Duty) Told(topic catalog.Topic) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.told[topic]
}

// Answered implements catalog.Peers. A poller tells a new revision at once.
func (d *Duty) Answered(topic catalog.Topic, revision uint64) {
	now := time.Now()
	d.mu.Lock()
	d.answered[topic] = now
	news := revision > d.seen[topic]
	d.seen[topic] = max(d.seen[topic], revision)
	d.mu.Unlock()
	if news {
		d.tell(now)
	}
}
