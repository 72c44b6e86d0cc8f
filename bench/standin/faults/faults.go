// Package faults holds the fault switches of the stand-in servers. Tests and
// experiments set them in process or by PUT /v1/faults.
package faults

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Switches are the faults of one stand-in server. The zero value is a server
// without faults. A server ignores switches that it does not implement; for example,
// engines ignore DropAnswers, DropCalls and Delay.
type Switches struct {
	// Slow multiplies all processing times; values up to 1 have no effect.
	Slow float64 `json:"slow,omitempty"`
	// Down refuses calls: an engine closes the connection, other servers answer 503.
	Down bool `json:"down,omitempty"`
	// DropAnswers is the share of calls whose effect takes place and whose
	// connection is then closed without an answer.
	DropAnswers float64 `json:"dropAnswers,omitempty"`
	// DropCalls is the share of calls whose connection is closed before any effect.
	DropCalls float64 `json:"dropCalls,omitempty"`
	// Freeze keeps the connections of calls and health checks open without sending
	// another byte. Routes for tests, such as /v1/executions, still answer.
	Freeze bool `json:"freeze,omitempty"`
	// Delay is added to every call.
	Delay time.Duration `json:"delay,omitempty"`
	// CrashMark makes the server crash on a request whose body contains it.
	CrashMark string `json:"crashMark,omitempty"`
	// CutAfterTokens closes a stream after this number of tokens; 0 is never.
	CutAfterTokens int `json:"cutAfterTokens,omitempty"`
	// CrossFrames inserts frames of another request into each stream.
	CrossFrames bool `json:"crossFrames,omitempty"`
	// IgnoreFencing accepts commands with an old fencing number.
	IgnoreFencing bool `json:"ignoreFencing,omitempty"`
	// Leaving makes the health answer say that the server is leaving.
	Leaving bool `json:"leaving,omitempty"`
	// Versions holds faults of single versions, by version name.
	Versions map[string]VersionFault `json:"versions,omitempty"`
}

// VersionFault makes one version fail or respond slowly.
type VersionFault struct {
	// FailShare is the share of requests answered with status 500.
	FailShare float64 `json:"failShare,omitempty"`
	// Slow multiplies processing times.
	Slow float64 `json:"slow,omitempty"`
	// AboveRunning limits the fault to times when more than this number of requests
	// run; 0 is no limit.
	AboveRunning int `json:"aboveRunning,omitempty"`
	// Route limits the fault to one path; empty is no limit. Slow of an engine has no
	// effect with a Route.
	Route string `json:"route,omitempty"`
}

// Applies reports whether the fault is active for this number of running requests and
// this path.
func (v VersionFault) Applies(running int, path string) bool {
	if running <= v.AboveRunning && v.AboveRunning > 0 {
		return false
	}
	return v.Route == "" || v.Route == path
}

// Version returns the fault of a version if it is active, else the zero value.
func (s Switches) Version(name string, running int, path string) VersionFault {
	fault := s.Versions[name]
	if !fault.Applies(running, path) {
		return VersionFault{}
	}
	return fault
}

// Injector holds switches that change while a server runs. It is safe for
// concurrent use.
type Injector struct {
	mu       sync.RWMutex
	switches Switches
}

// Get returns the switches in force.
func (i *Injector) Get() Switches {
	i.mu.RLock()
	defer i.mu.RUnlock()
	return i.switches
}

// Set replaces the switches.
func (i *Injector) Set(s Switches) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.switches = s
}

// ServeHTTP answers PUT with the switches to set.
func (i *Injector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var s Switches
	if err := json.NewDecoder(r.Body).Decode(&s); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	i.Set(s)
	w.WriteHeader(http.StatusNoContent)
}

// AbortConnection closes the connection of a call without an answer. It does not return:
// it panics with http.ErrAbortHandler.
func AbortConnection() {
	panic(http.ErrAbortHandler)
}
