package members

import (
	"time"

	"github.com/marjoramflow/marjoramflow/eventlog"
	"github.com/marjoramflow/marjoramflow/membership"
	"github.com/marjoramflow/marjoramflow/peer/peerpb"
)

// ReportUnanswered reports that a daemon with a session did not answer a request in the usual
// time. It is pinged, and left out of the live list if it stays silent.
func (m *Manager) ReportUnanswered(name string) {
	if name == m.Self.Name {
		return
	}
	m.events.TryPush(func(now time.Time) {
		if m.sessionUp[name] && m.silence.Ask(now, name) {
			m.question(now, name)
		}
	})
}

// onUnansweredReport handles the report of another daemon that waits for an answer.
func (m *Manager) onUnansweredReport(now time.Time, by, name string) {
	if name == m.Self.Name || !m.sessionUp[name] {
		return
	}
	if m.silence.Reported(now, by, name) {
		m.question(now, name)
	}
	m.checkSilence(now)
}

// question pings a daemon and waits for any frame from it.
func (m *Manager) question(now time.Time, name string) {
	m.setQuestioned(name, true)
	// If the ping cannot be queued, other frames of the daemon still answer the question.
	_ = m.mesh.Send(name, &peerpb.Envelope{Body: &peerpb.Envelope_Ping{Ping: &peerpb.Ping{}}})
	m.checkSilence(now)
}

// onFrame handles a frame of a daemon, which is a sign of life.
func (m *Manager) onFrame(now time.Time, from string) {
	wasSilent := m.silence.Heard(now, from)
	m.setQuestioned(from, false)
	m.perform(m.table.FrameReceived(now, from))
	if wasSilent {
		m.Logger.Emit(eventlog.DaemonAnswers, eventlog.Fields{"name": from})
		m.publish(now)
	}
}

// checkSilence excludes the daemons that became silent, and tells the other daemons about
// missing answers.
func (m *Manager) checkSilence(now time.Time) {
	changes := m.silence.Tick(now)
	for _, report := range changes.Reports {
		m.reportUnanswered(report)
	}
	for _, name := range changes.Silent {
		m.Logger.Emit(eventlog.DaemonSilent, eventlog.Fields{"name": name})
	}
	if len(changes.Silent) > 0 {
		m.publish(now)
	}
	if !changes.Next.IsZero() {
		m.silenceTimer.Reset(changes.Next.Sub(now))
	}
}

// reportUnanswered tells other daemons that one did not answer: those that reported it, or
// all with a session if none did.
func (m *Manager) reportUnanswered(report membership.SilenceReport) {
	message := &peerpb.Envelope{Body: &peerpb.Envelope_Unanswered{Unanswered: &peerpb.Unanswered{Daemon: report.Name}}}
	recipients := report.To
	if len(recipients) == 0 {
		recipients = m.sessionPeers()
	}
	for _, to := range recipients {
		if to != report.Name {
			// A daemon that misses the report notices the silence by its own requests.
			_ = m.mesh.Send(to, message)
		}
	}
}

// sessionPeers returns the daemons with a session.
func (m *Manager) sessionPeers() []string {
	var peers []string
	for name, up := range m.sessionUp {
		if up {
			peers = append(peers, name)
		}
	}
	return peers
}

// noteProcess records the process that a session is with. If it is a new process of the
// daemon, the requests of the old one are dropped.
func (m *Manager) noteProcess(name string, incarnation uint64) {
	m.mu.Lock()
	last, known := m.incarnations[name]
	m.incarnations[name] = incarnation
	m.mu.Unlock()
	if known && incarnation > last {
		m.OnDaemonDead(name)
	}
}

// setQuestioned sets whether each frame of a daemon is reported, and not only one in each
// heardInterval.
func (m *Manager) setQuestioned(name string, questioned bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if questioned {
		m.questioned[name] = true
	} else {
		delete(m.questioned, name)
	}
}
