package main

import (
	"fmt"
	"time"
)

const (
	// configApply is configApplyMs.
	configApply = 2500 * time.Millisecond
	// rollbackTime is rollbackMs.
	rollbackTime = 5 * time.Second
	// exposeShare and exposeSlack bound the requests of a bad version, which is known to be
	// bad after badAnswers of its answers.
	exposeShare = 0.1
	exposeSlack = 50
	badAnswers  = 50
	// orderSeconds is the time that an order allows, as in the pages' example.
	orderSeconds = 12
	// plainRate is the number of requests of a plain service per second.
	plainRate = 60
	// badShare is the share of the answers of a bad version that are failures.
	badShare = 0.3
)

// failures returns the share of failures of a version that is bad if there is trouble.
func failures(trouble bool) float64 {
	if trouble {
		return badShare
	}
	return 0
}

// The host and the routes of the manifests.
const (
	routeHost   = "depot.example"
	safePath    = "/stock/"
	unsafePath  = "/dispatch/"
	requestTail = "1"
)

type route struct {
	Name            string  `json:"name"`
	Host            string  `json:"host"`
	Prefix          string  `json:"prefix"`
	Kind            string  `json:"kind"`
	TimeoutMs       float64 `json:"timeoutMs"`
	TargetLatencyMs float64 `json:"targetLatencyMs"`
	Priority        int     `json:"priority"`
	Service         string  `json:"service"`
	MaxAttempts     int     `json:"maxAttempts"`
	Public          bool    `json:"public"`
	SessionAffinity bool    `json:"sessionAffinity"`
	StreamResume    bool    `json:"streamResume"`
	GapAimMs        float64 `json:"gapAimMs"`
}

type service struct {
	Name           string         `json:"name"`
	HealthPath     string         `json:"healthPath"`
	MaxConnections int            `json:"maxConnections"`
	Protocol       string         `json:"protocol"`
	TLS            bool           `json:"tls"`
	Engine         map[string]any `json:"engine,omitempty"`
}

type tenant struct {
	Name    string   `json:"name"`
	APIKeys []string `json:"apiKeys"`
	// Priority may be left out.
	Priority    *int    `json:"priority,omitempty"`
	Unit        string  `json:"unit"`
	PlainTokens int     `json:"plainTokens"`
	RatePerS    float64 `json:"ratePerS"`
	Burst       float64 `json:"burst"`
}

// rank returns a priority of a tenant.
func rank(priority int) *int { return &priority }

type manifest struct {
	Version  int            `json:"version"`
	Routes   []route        `json:"routes"`
	Services []service      `json:"services"`
	Limits   map[string]int `json:"limits"`
	Tenants  []tenant       `json:"tenants"`
}

// plainManifest returns a manifest with one plain service, a safe and an unsafe route, and two
// tenants without limits that can be reached.
func plainManifest(serviceName string) manifest {
	return manifest{
		Version: 3,
		Routes: []route{
			{Name: "r-stock", Host: routeHost, Prefix: safePath, Kind: "safe", TimeoutMs: 1500, TargetLatencyMs: 300, Priority: 2, Service: serviceName, MaxAttempts: 2},
			{Name: "r-dispatch", Host: routeHost, Prefix: unsafePath, Kind: "unsafe", TimeoutMs: 1500, TargetLatencyMs: 300, Priority: 2, Service: serviceName, MaxAttempts: 1},
		},
		Services: []service{{Name: serviceName, HealthPath: "/health", MaxConnections: 96, Protocol: "h1"}},
		Limits:   map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		Tenants: []tenant{
			{Name: "wuny96", APIKeys: []string{"key-wuny96-a", "key-wuny96-b"}, Priority: rank(1), Unit: "tokens", PlainTokens: 200, RatePerS: 250000, Burst: 250000},
			{Name: "hule930", APIKeys: []string{"key-hule930-a"}, Priority: rank(2), Unit: "tokens", PlainTokens: 200, RatePerS: 250000, Burst: 250000},
		},
	}
}

// plainTraffic returns the traffic of the routes of plainManifest.
func plainTraffic(key string, perSecond float64) []traffic {
	return []traffic{
		{method: "GET", host: routeHost, path: safePath + requestTail, key: key, perSecond: perSecond / 2},
		{method: "POST", host: routeHost, path: unsafePath + requestTail, key: key, perSecond: perSecond / 2},
	}
}

// publish writes a manifest and returns the time of the acknowledgement.
func (b *bench) publish(m manifest) time.Time {
	at := b.store.put("op", "config", m)
	b.rec.line("the store acknowledges manifest %d", m.Version)
	return at
}

// order is the operator's order to move a service to a version.
type order struct {
	Service   string  `json:"service"`
	To        string  `json:"to"`
	DurationS float64 `json:"durationS"`
}

// order writes an order and returns the time of the acknowledgement.
func (b *bench) order(serviceName, to string, durationS float64) time.Time {
	at := b.store.put("op", "rollout/"+serviceName, order{serviceName, to, durationS})
	b.rec.line("the store acknowledges the order to move %s to %s within %g s", serviceName, to, durationS)
	return at
}

// awaitState waits until the status of an order has one of the end states, and returns it, or
// the last state at the timeout.
func (b *bench) awaitState(serviceName, to string, timeout time.Duration) string {
	var status struct{ To, State string }
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if b.store.get("status", "rollout/"+serviceName, &status) && status.To == to && (status.State == "completed" || status.State == "rolled_back") {
			b.rec.line("status of the order: to %s, %s", status.To, status.State)
			return status.State
		}
	}
	b.rec.line("status of the order to %s after %s: to %s, %s", to, timeout, status.To, status.State)
	return status.State
}

// exposure checks the rule on bad versions for the order of a version between two times. It
// counts the requests that clients sent in that time. All daemons are in touch.
func (b *bench) exposure(serviceName, version string, ordered, limit time.Time) string {
	all, exposed, bad := 0, 0, 0
	var knownBad time.Time
	late := 0
	for _, r := range b.fleet.runsOf(serviceName) {
		sent, found := b.clients.get(r.attempt)
		if !found {
			continue
		}
		if !r.at.Before(ordered) && r.at.Before(limit) {
			all++
		}
		if r.version != version || r.at.Before(ordered) {
			continue
		}
		if r.at.Before(limit) {
			exposed++
		}
		if !knownBad.IsZero() && sent.at.After(knownBad.Add(rollbackTime)) {
			late++
		}
		if r.bad {
			if bad++; bad == badAnswers {
				knownBad = r.at.Add(maxWorkTime)
			}
		}
	}
	allowed := exposeShare*float64(all) + exposeSlack
	b.rec.line("exposure of %s: %d of %d requests between order and time limit, allowed %.0f; %d bad answers; %d requests sent over %s after the %dth", version, exposed, all, allowed, bad, late, rollbackTime, badAnswers)
	fmt.Printf("exposure of %s: %d of %d requests, allowed %.0f; %d bad answers; %d requests sent over %s after the %dth\n", version, exposed, all, allowed, bad, late, rollbackTime, badAnswers)
	switch {
	case bad == 0:
		return ""
	case float64(exposed) > allowed:
		return fmt.Sprintf("EXPOSURE: bad version %s got %d of %d requests, allowed %.0f", version, exposed, all, allowed)
	case late > 0:
		return fmt.Sprintf("EXPOSURE: bad version %s got %d requests sent later than %s after its %dth bad answer", version, late, rollbackTime, badAnswers)
	}
	return ""
}
