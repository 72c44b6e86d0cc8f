// Package avoidance remembers which targets want no more requests from this daemon, as they
// said in their answers: because they leave, or for a time, because they are overloaded. The
// registry of targets tells the former later or never, and the latter not at all. Each
// daemon heeds what was said to it; the others are told by the target itself.
//
// The package does no I/O and reads no clock. A Set is safe for concurrent use.
package avoidance

import (
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/marjoramflow/marjoramflow/object"
)

const (
	// maxTargets bounds the targets that a Set remembers. The one that spoke longest ago is
	// forgotten first.
	maxTargets = 2048
	// maxPause bounds the time for which a target is avoided, so that a faulty one comes back.
	maxPause = 5 * time.Minute
	// leaveExpiry is the time after which a target that said that it leaves is tried again, if
	// it is still registered. Targets leave within seconds or minutes.
	leaveExpiry = time.Hour
)

// Set holds what targets said. Its zero value is not usable; New returns one.
type Set struct {
	mu      sync.Mutex
	targets *simplelru.LRU[string, wish]
}

// wish is what one boot of a target said.
type wish struct {
	service   string
	startedAt time.Time
	// leavingSince is zero for a target that did not say that it leaves.
	leavingSince time.Time
	pausedUntil  time.Time
}

// New returns an empty set.
func New() *Set {
	targets, err := simplelru.NewLRU[string, wish](maxTargets, nil)
	if err != nil {
		// The only possible error is a size that is not positive.
		panic(err)
	}
	return &Set{targets: targets}
}

// Leave records that a target said that it leaves.
func (s *Set) Leave(now time.Time, target *object.Target) {
	s.update(target, func(w *wish) {
		if w.leavingSince.IsZero() {
			w.leavingSince = now
		}
	})
}

// Pause records that a target wants no requests for a time.
func (s *Set) Pause(now time.Time, target *object.Target, pause time.Duration) {
	until := now.Add(min(pause, maxPause))
	s.update(target, func(w *wish) {
		if until.After(w.pausedUntil) {
			w.pausedUntil = until
		}
	})
}

func (s *Set) update(target *object.Target, change func(*wish)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w, found := s.targets.Get(target.Name)
	if !found || target.StartedAt.After(w.startedAt) {
		w = wish{service: target.Service, startedAt: target.StartedAt}
	}
	change(&w)
	s.targets.Add(target.Name, w)
}

// Avoids reports whether a target gets no requests. A target that has started again since is
// not avoided.
func (s *Set) Avoids(now time.Time, target *object.Target) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	w, found := s.targets.Peek(target.Name)
	return found && !target.StartedAt.After(w.startedAt) && w.inForce(now)
}

// Names returns the avoided targets of a service, at most limit of them. The function find
// returns a target of the configuration, or nil.
func (s *Set) Names(now time.Time, service string, limit int, find func(name string) *object.Target) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for _, name := range slices.Backward(s.targets.Keys()) {
		w, _ := s.targets.Peek(name)
		if len(names) >= limit {
			break
		}
		if w.service != service || !w.inForce(now) {
			continue
		}
		if target := find(name); target != nil && !target.StartedAt.After(w.startedAt) {
			names = append(names, name)
		}
	}
	return names
}

// NextUse returns the time until the first paused target of a service is used again, or 0 if
// none is paused.
func (s *Set) NextUse(now time.Time, service string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := time.Duration(0)
	for _, w := range s.targets.Values() {
		left := w.pausedUntil.Sub(now)
		if w.service == service && left > 0 && !w.isLeaving(now) && (next == 0 || left < next) {
			next = left
		}
	}
	return next
}

func (w *wish) inForce(now time.Time) bool {
	return w.isLeaving(now) || now.Before(w.pausedUntil)
}

func (w *wish) isLeaving(now time.Time) bool {
	return !w.leavingSince.IsZero() && now.Sub(w.leavingSince) < leaveExpiry
}
