package daemon

import (
	"github.com/marjoramflow/marjoramflow/eventlog"
	"github.com/marjoramflow/marjoramflow/object"
	"github.com/marjoramflow/marjoramflow/owner"
	"github.com/marjoramflow/marjoramflow/peer"
	"github.com/marjoramflow/marjoramflow/peer/peerpb"
)

// broadcast sends a message to every daemon with a session.
func broadcast(mesh *peer.Mesh, m *peerpb.Envelope) {
	for _, s := range mesh.Sessions() {
		// A peer that cannot take the message learns its content when its session
		// is up again.
		_ = mesh.Send(s.Name, m)
	}
}

// broadcast sends a message to every daemon with a session.
func (d *Daemon) broadcast(m *peerpb.Envelope) {
	broadcast(d.mesh, m)
}

// model returns the engine's name of a version.
func (d *Daemon) model(version string) string {
	if index := d.places.Index(); index != nil {
		if v := index.Version(version); v != nil && v.Model != "" {
			return v.Model
		}
	}
	return version
}

// onTargetState tells the owner duty and the operators about a target.
func (d *Daemon) onTargetState(target string, state owner.TargetState) {
	d.states.set(target, state)
	d.owners.SetTargetState(target, state)
}

// ready is the answer to the balancer.
func (d *Daemon) ready() bool {
	return !d.stopping.Load() && d.places.Index() != nil
}

// liveHere returns the live daemons of the own data centre.
func (d *Daemon) liveHere() []string {
	live, _ := d.places.liveIn(d.settings.DataCentre)
	return live
}

func (d *Daemon) generation() uint64 {
	if index := d.places.Index(); index != nil {
		return index.Generation
	}
	return 0
}

// onMessage hands a frame to the duty that it belongs to.
func (d *Daemon) onMessage(from string, m *peerpb.Envelope) {
	d.peers.onMessage(from, m)
	d.onConfigMessage(from, m)
	d.limits.onMessage(from, m)
	switch {
	case d.members.OnMessage(from, m):
	case d.owners.OnMessage(from, m):
	case d.grants.OnMessage(from, m):
	case d.suspects.OnMessage(m):
	case d.moves.OnMessage(m):
	}
}

func (d *Daemon) onSession(name string, up bool, hello *peerpb.Hello) {
	if up {
		d.grants.SessionUp(name)
		d.moves.SessionUp(name)
		d.config.OnPeerGeneration(name, hello.Generation)
	} else {
		d.grants.SessionLost(name)
	}
	d.members.OnSession(name, up, hello)
}

func (d *Daemon) onLive(dataCentre string, daemons []string) {
	if d.places.setLive(dataCentre, daemons) {
		d.placesChanged()
	}
}

func (d *Daemon) onGone(daemon string) {
	d.owners.EntryGone(daemon)
}

// install puts a configuration in force on this daemon.
func (d *Daemon) install(generation uint64, set *object.Set) {
	d.places.setIndex(object.NewIndex(generation, set))
	d.moves.SetConfig(set)
	d.limits.setConfig(set)
	d.placesChanged()
	d.logger.Emit(eventlog.ConfigInForce, eventlog.Fields{"generation": generation})
	// Peers learn the generation now and not with the next ping, so that an
	// operator who waits sees it at once.
	d.broadcast(&peerpb.Envelope{Body: &peerpb.Envelope_ConfigAnnounce{ConfigAnnounce: &peerpb.ConfigAnnounce{Generation: generation}}})
}

// placesChanged tells the duties that groups or owners changed.
func (d *Daemon) placesChanged() {
	local := d.places.Local()
	d.owners.SetTopology(local, len(d.liveHere()))
	d.link.setDaemons(d.places.liveInRegion())
	d.grants.TopologyChanged()
	var owned []*object.Target
	for _, g := range local.OwnedBy(d.settings.Name) {
		owned = append(owned, g.Targets...)
	}
	d.probes.SetTargets(owned)
}

// onLoaded maps the models that a target reports to versions.
func (d *Daemon) onLoaded(target string, models []string) {
	index := d.places.Index()
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
	d.owners.SetLoaded(target, versions)
}
