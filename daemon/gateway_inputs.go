package daemon

import (
	"context"

	"github.com/marjoramflow/marjoramflow/attempt"
	"github.com/marjoramflow/marjoramflow/catalog"
	"github.com/marjoramflow/marjoramflow/entry"
	"github.com/marjoramflow/marjoramflow/eventlog"
	"github.com/marjoramflow/marjoramflow/fault"
	"github.com/marjoramflow/marjoramflow/object"
	"github.com/marjoramflow/marjoramflow/peer/peerpb"
)

// gatewayObserver logs failed attempts and passes all on to the moves.
type gatewayObserver struct {
	observer
	logger *eventlog.Logger
}

// ObserveAttempt implements entry.Observer.
func (o *gatewayObserver) ObserveAttempt(a entry.Observation) {
	if a.Err != nil {
		o.logger.EmitError(eventlog.AttemptFailed, a.Err, eventlog.Fields{
			"request": a.Request, "target": a.Target, "kind": attempt.KindOf(a.Err).String(),
			"tookMs": a.Duration.Milliseconds(), "inFlight": a.InFlight, "version": a.Version,
		})
	}
	// Versions are compared by what targets of the service usually take: an estimate
	// of the target's own would hide that its version is slow.
	a.Hardware = a.Service
	o.observer.ObserveAttempt(a)
}

// install puts a checked set in force on this daemon.
func (g *Gateway) install(set *object.Set, callerLimits catalog.CallerLimits) {
	generation := g.generation.Add(1)
	g.limitsInForce.Store(&callerLimits)
	g.places.setIndex(object.NewIndex(generation, set))
	g.moves.SetConfig(set)
	g.leases.SetConfig(set)
	g.placesChanged()
	g.logger.Emit(eventlog.ConfigInForce, eventlog.Fields{"generation": generation, "targets": len(set.Targets), "ingresses": len(set.Ingresses)})
}

// placesChanged tells the duties that groups or owners changed.
func (g *Gateway) placesChanged() {
	g.owners.SetTopology(g.places.Local(), len(g.liveHere()))
	g.link.setDaemons(g.places.liveInRegion())
	g.shareRetries()
	g.grants.TopologyChanged()
}

func (g *Gateway) onLive(dataCentre string, daemons []string) {
	if g.places.setLive(dataCentre, daemons) {
		g.placesChanged()
	}
}

// liveHere returns the live daemons of the own data centre.
func (g *Gateway) liveHere() []string {
	live, _ := g.places.liveIn(g.settings.DataCentre)
	return live
}

// broadcast sends a message to every daemon with a session.
func (g *Gateway) broadcast(m *peerpb.Envelope) {
	broadcast(g.mesh, m)
}

// onMessage hands a frame to the duty that it belongs to.
func (g *Gateway) onMessage(from string, m *peerpb.Envelope) {
	switch {
	case g.members.OnMessage(from, m):
	case g.owners.OnMessage(from, m):
	case g.grants.OnMessage(from, m):
	case g.leases.OnMessage(from, m):
	case g.pollers.OnMessage(from, m):
	case g.suspects.OnMessage(m):
	case g.moves.OnMessage(m):
	}
}

func (g *Gateway) onSession(name string, up bool, hello *peerpb.Hello) {
	if up {
		g.grants.SessionUp(name)
		g.moves.SessionUp(name)
	} else {
		g.grants.SessionLost(name)
	}
	g.members.OnSession(name, up, hello)
}

// addressOf returns the address of a target, "" when it is not configured.
func (g *Gateway) addressOf(target string) string {
	if t := g.places.Target(target); t != nil {
		return t.Address
	}
	return ""
}

// identify asks a target for its health, which tells its name.
func (g *Gateway) identify(target string) error {
	t := g.places.Target(target)
	if t == nil {
		return nil
	}
	return g.trial(t)
}

// trial asks an ejected target for its health. A target that says that it is
// healthy gets requests again, and is ejected anew if they fail.
func (g *Gateway) trial(t *object.Target) error {
	index := g.places.Index()
	if index == nil {
		return fault.New("gateway.trial", t.Name, "no configuration is in force")
	}
	service := index.Service(t.Service)
	if service == nil {
		return fault.New("gateway.trial", t.Name, "service is not in the configuration")
	}
	return g.targets.CheckHealth(context.Background(), t, service.HealthPath)
}
