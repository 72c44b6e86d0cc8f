package daemon

import (
	"github.com/marjoramflow/marjoramflow/eventlog"
	"github.com/marjoramflow/marjoramflow/object"
	"github.com/marjoramflow/marjoramflow/owner"
	"github.com/marjoramflow/marjoramflow/peer"
	"github.com/marjoramflow/marjoramflow/peer/peerpb"
)

// broadcast sends a message to every daemon with which the mesh has a session.
func broadcast(mesh *peer.Mesh, m *peerpb.Envelope) {
	for _, s := range mesh.Sessions() {
		// A peer that misses the message gets its content when its session is up
		// again.
		_ = mesh.Send(s.Name, m)
	}
}

// broadcast sends a message to every daemon with which this one has a session.
func (d *Daemon) broadcast(m *peerpb.Envelope) {
	broadcast(d.mesh, m)
}

// engineModel returns the model name by which engines know a version, which is the
// version's own name if no other is configured.
func (d *Daemon) engineModel(version string) string {
	if index := d.topologies.Index(); index != nil {
		if v := index.Version(version); v != nil && v.Model != "" {
			return v.Model
		}
	}
	return version
}

// onTargetState passes the probed state of a target to the owner manager, and keeps it for
// operators.
func (d *Daemon) onTargetState(target string, state owner.TargetState) {
	d.targetStates.set(target, state)
	d.owners.SetTargetState(target, state)
}

// ready reports whether the daemon is ready to serve, which load balancers ask for.
func (d *Daemon) ready() bool {
	return !d.stopping.Load() && d.topologies.Index() != nil
}

// liveLocal returns the names of the live daemons in this daemon's data centre.
func (d *Daemon) liveLocal() []string {
	live, _ := d.topologies.liveInDataCentre(d.settings.DataCentre)
	return live
}

// generation returns the configuration generation in force, or 0 before the first.
func (d *Daemon) generation() uint64 {
	if index := d.topologies.Index(); index != nil {
		return index.Generation
	}
	return 0
}

// onMessage passes a message of a peer to the parts that use it.
func (d *Daemon) onMessage(from string, m *peerpb.Envelope) {
	d.peerStatuses.onMessage(from, m)
	d.onConfigMessage(from, m)
	d.accountLimiter.onMessage(from, m)
	switch {
	case d.members.OnMessage(from, m):
	case d.owners.OnMessage(from, m):
	case d.grants.OnMessage(from, m):
	case d.quarantine.OnMessage(m):
	case d.moves.OnMessage(m):
	}
}

// onSession handles the start and the loss of a session with a peer.
func (d *Daemon) onSession(name string, up bool, hello *peerpb.Hello) {
	if up {
		d.grants.SessionUp(name)
		d.moves.SessionUp(name)
		d.quarantine.SessionUp(name)
		d.configSyncer.OnPeerGeneration(name, hello.Generation)
	} else {
		d.grants.SessionLost(name)
	}
	d.members.OnSession(name, up, hello)
}

// onLiveChanged handles a new list of live daemons of a data centre.
func (d *Daemon) onLiveChanged(dataCentre string, daemons []string) {
	if d.topologies.setLive(dataCentre, daemons) {
		d.topologyChanged()
	}
}

// storeRestored handles the restore of the platform's store from an older copy: rows that were
// written shortly before are gone. The parts look for what they need and write it again.
func (d *Daemon) storeRestored(era uint64) {
	d.logger.Emit(eventlog.StoreRestored, eventlog.Fields{"era": era})
	d.moves.TableRestored()
	d.quarantine.TableRestored()
	d.idempotencyKeys.TableRestored()
	d.configSyncer.PollNow()
}

// onDaemonDead drops the requests of a daemon that is dead or has left.
func (d *Daemon) onDaemonDead(daemon string) {
	d.owners.DropEntry(daemon)
}

// installConfig puts a configuration in force on this daemon.
func (d *Daemon) installConfig(generation uint64, set *object.Set) {
	d.topologies.setIndex(object.NewIndex(generation, set))
	d.moves.SetConfig(set)
	d.accountLimiter.setConfig(set)
	d.topologyChanged()
	d.logger.Emit(eventlog.ConfigInForce, eventlog.Fields{"generation": generation})
	// The generation is announced now and not with the next ping, so that an operator
	// who waits for it sees it at once.
	d.broadcast(&peerpb.Envelope{Body: &peerpb.Envelope_ConfigAnnounce{ConfigAnnounce: &peerpb.ConfigAnnounce{Generation: generation}}})
}

// topologyChanged updates the parts that depend on target groups, owners or live daemons.
func (d *Daemon) topologyChanged() {
	local := d.topologies.Local()
	d.owners.SetTopology(local, len(d.liveLocal()))
	d.linkBudget.setDaemons(d.topologies.countLiveInRegion())
	d.grants.TopologyChanged()
	var owned []*object.Target
	for _, g := range local.OwnedBy(d.settings.Name) {
		owned = append(owned, g.Targets...)
	}
	d.probes.SetTargets(owned)
}

// onModelsLoaded maps the models that a target reports as loaded to versions, and passes
// them to the owner manager.
func (d *Daemon) onModelsLoaded(target string, models []string) {
	index := d.topologies.Index()
	if index == nil || index.Target(target) == nil {
		return
	}
	loaded := make(map[string]bool, len(models))
	for _, m := range models {
		loaded[m] = true
	}
	versions := []string{}
	for _, name := range index.Target(target).Versions {
		v := index.Version(name)
		if loaded[name] || (v != nil && loaded[v.Model]) {
			versions = append(versions, name)
		}
	}
	d.owners.SetLoadedVersions(target, versions)
}
