package daemon

import (
	"context"
	"fmt"
	"time"

	"github.com/marjoramflow/marjoramflow/attempt"
	"github.com/marjoramflow/marjoramflow/catalog"
	"github.com/marjoramflow/marjoramflow/entry"
	"github.com/marjoramflow/marjoramflow/eventlog"
	"github.com/marjoramflow/marjoramflow/fault"
	"github.com/marjoramflow/marjoramflow/object"
	"github.com/marjoramflow/marjoramflow/peer/peerpb"
)

// gatewayObserver logs failed attempts and passes every attempt on to observer.
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
			"number": a.Number, "begun": a.Begun, "suspect": a.Suspect,
			"fingerprint": formatID(a.Fingerprint), "parts": formatIDs(a.SharedParts),
		})
	}
	// The expected latency is that of all targets of the service together: an estimate
	// for the target alone would hide that its version is slow.
	a.Hardware = a.Service
	o.observer.ObserveAttempt(a)
}

// maxLoggedParts bounds the parts of a prompt in one log line.
const maxLoggedParts = 16

// formatID formats an id as in the notices between daemons.
func formatID(id uint64) string {
	return fmt.Sprintf("%016x", id)
}

// formatIDs formats the first maxLoggedParts ids.
func formatIDs(ids []uint64) []string {
	out := make([]string, min(len(ids), maxLoggedParts))
	for i := range out {
		out[i] = formatID(ids[i])
	}
	return out
}

// installConfig puts a validated object set and its caller limits in force on this daemon.
func (g *Gateway) installConfig(set *object.Set, callerLimits catalog.CallerLimits) {
	generation := g.generation.Add(1)
	callerLimits.SetDefaults(defaultCallerLimits)
	g.callerLimits.Store(&callerLimits)
	g.topologies.setIndex(object.NewIndex(generation, set))
	g.moves.SetConfig(set)
	g.accountLimiter.SetConfig(set)
	g.topologyChanged()
	g.logger.Emit(eventlog.ConfigInForce, eventlog.Fields{"generation": generation, "targets": len(set.Targets), "ingresses": len(set.Ingresses)})
}

// topologyChanged updates the parts that depend on target groups, owners or live daemons.
func (g *Gateway) topologyChanged() {
	g.owners.SetTopology(g.topologies.Local(), len(g.liveLocal()))
	g.linkBudget.setDaemons(g.topologies.countLiveInRegion())
	g.divideRetryBudget()
	g.grants.TopologyChanged()
}

// onLiveChanged handles a new list of live daemons of a data centre.
func (g *Gateway) onLiveChanged(dataCentre string, daemons []string) {
	if g.topologies.setLive(dataCentre, daemons) {
		g.topologyChanged()
	}
}

// liveLocal returns the names of the live daemons in this daemon's data centre.
func (g *Gateway) liveLocal() []string {
	live, _ := g.topologies.liveInDataCentre(g.settings.DataCentre)
	return live
}

// broadcast sends a message to every daemon with which this one has a session.
func (g *Gateway) broadcast(m *peerpb.Envelope) {
	broadcast(g.mesh, m)
}

// onMessage passes a message of a peer to the part that handles it.
func (g *Gateway) onMessage(from string, m *peerpb.Envelope) {
	switch {
	case g.members.OnMessage(from, m):
	case g.owners.OnMessage(from, m):
	case g.grants.OnMessage(from, m):
	case g.accountLimiter.OnMessage(from, m):
	case g.pollers.OnMessage(from, m):
	case g.quarantine.OnMessage(m):
	case g.blocklist.OnMessage(from, m):
	case g.moves.OnMessage(m):
	}
}

// onSession handles the start and the loss of a session with a peer.
func (g *Gateway) onSession(name string, up bool, hello *peerpb.Hello) {
	if up {
		g.grants.SessionUp(name)
		g.moves.SessionUp(name)
		g.quarantine.SessionUp(name)
		g.blocklist.SessionUp(name)
		g.pollers.SessionUp(name)
	} else {
		g.grants.SessionLost(name)
	}
	g.members.OnSession(name, up, hello)
}

// storeRestored handles the restore of the platform's store from an older copy: rows that were
// written shortly before are gone. The parts look for what they need and write it again.
func (g *Gateway) storeRestored(era uint64) {
	g.logger.Emit(eventlog.StoreRestored, eventlog.Fields{"era": era})
	g.storeRestores.Add(1)
	g.roster.TableRestored()
	g.moves.TableRestored()
	g.orderHandler.tableRestored()
	g.quarantine.TableRestored()
	g.blocklist.TableRestored()
}

// targetDown records the loss of a target and the fingerprints of the requests that ran there.
func (g *Gateway) targetDown(target string, fingerprints []uint64) {
	g.quarantine.TargetLost(target, fingerprints)
	g.blocklist.TargetDown(target)
}

// targetAddress returns the address of a target, or "" if it is not configured.
func (g *Gateway) targetAddress(target string) string {
	if t := g.topologies.Target(target); t != nil {
		return t.Address
	}
	return ""
}

// checkIdentity sends a health check to a target, whose answer names the target that sent it.
// The error wraps attempt.ErrTargetReplaced if another target answered. A target that is not
// configured is not checked.
func (g *Gateway) checkIdentity(target string) error {
	t := g.topologies.Target(target)
	if t == nil {
		return nil
	}
	return g.checkHealth(t)
}

// checkHealth sends a health check to a target. It is also the probe of ejected targets: one
// that reports to be healthy gets requests again, and is ejected again if they fail.
func (g *Gateway) checkHealth(t *object.Target) error {
	if g.avoidance.Avoids(time.Now(), t) {
		return fault.New("gateway.trial", t.Name, "the target wants no requests")
	}
	index := g.topologies.Index()
	if index == nil {
		return fault.New("gateway.trial", t.Name, "no configuration is in force")
	}
	service := index.Service(t.Service)
	if service == nil {
		return fault.New("gateway.trial", t.Name, "service is not in the configuration")
	}
	return g.forwarder.CheckHealth(context.Background(), t, service.HealthPath)
}
