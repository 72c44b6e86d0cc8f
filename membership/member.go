package membership

import (
	"time"

	"github.com/marjoramflow/marjoramflow/peer/peerpb"
)

// State is the state of a daemon in a table.
type State uint8

const (
	// Listed daemons are in the VM list, but no daemon has heard from them yet.
	Listed State = State(peerpb.MemberState_MEMBER_UNKNOWN)
	// Alive daemons were heard from.
	Alive State = State(peerpb.MemberState_MEMBER_ALIVE)
	// Suspect daemons are silent. They count as live until the grace period ends.
	Suspect State = State(peerpb.MemberState_MEMBER_SUSPECT)
	// Leaving daemons announced that they stop. They get no new work.
	Leaving State = State(peerpb.MemberState_MEMBER_LEAVING)
	// Dead daemons were silent for the whole grace period.
	Dead State = State(peerpb.MemberState_MEMBER_DEAD)
)

// String returns the state's name for logs.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Leaving:
		return "leaving"
	case Dead:
		return "dead"
	}
	return "listed"
}

// Member is what is known about one daemon.
type Member struct {
	Name        string
	Address     string
	DataCentre  string
	Incarnation uint64
	State       State
}

// overrides reports whether m is newer information than the current one. A higher
// incarnation wins; only the daemon itself may raise it. Within one incarnation,
// the higher state wins, in the order listed, alive, suspect, leaving, dead.
func (m Member) overrides(current Member) bool {
	if m.Incarnation != current.Incarnation {
		return m.Incarnation > current.Incarnation
	}
	return m.State > current.State
}

// Action is a request to the caller: Probe, Gossip or MemberChanged for daemons,
// ProbeTarget or TargetChanged for targets.
type Action interface{ isAction() }

// Probe asks the caller to check that the daemon answers: to open a session, or to
// ping over the existing one. A success is reported with FrameReceived; a failure
// needs no report.
type Probe struct{ To string }

// Gossip asks the caller to send the members to each daemon named in To.
type Gossip struct {
	To      []string
	Members []Member
}

// MemberChanged reports that a member changed its state.
type MemberChanged struct {
	Member   Member
	Previous State
}

func (Probe) isAction()         {}
func (Gossip) isAction()        {}
func (MemberChanged) isAction() {}

// ToProto converts members for the wire.
func ToProto(members []Member) *peerpb.Members {
	out := &peerpb.Members{Members: make([]*peerpb.Member, len(members))}
	for i, m := range members {
		out.Members[i] = &peerpb.Member{
			Name:        m.Name,
			Address:     m.Address,
			DataCentre:  m.DataCentre,
			Incarnation: m.Incarnation,
			State:       peerpb.MemberState(m.State),
		}
	}
	return out
}

// FromProto converts members from the wire. It drops members without a name or
// with an unknown state.
func FromProto(message *peerpb.Members) []Member {
	members := make([]Member, 0, len(message.GetMembers()))
	for _, m := range message.GetMembers() {
		if m.Name == "" || m.State <= 0 || m.State > peerpb.MemberState_MEMBER_DEAD {
			continue
		}
		members = append(members, Member{
			Name:        m.Name,
			Address:     m.Address,
			DataCentre:  m.DataCentre,
			Incarnation: m.Incarnation,
			State:       State(m.State),
		})
	}
	return members
}

// trackedMember is a member and what this daemon itself observed of it.
type trackedMember struct {
	Member
	// lastHeard is the time of the last frame from the member, or of a session
	// that came up.
	lastHeard time.Time
	// stateSince is the time of the last change of state.
	stateSince time.Time
	// listed is set while the VM list contains the member, and listedLeaving while
	// the list marks it as leaving.
	listed, listedLeaving bool
	hasSession            bool
	// watchedSince is when this daemon began to watch the member; zero while it
	// does not. lastProbed is the time of the last probe.
	watchedSince, lastProbed time.Time
	// flapPenalty grows by one with each return of the dead member and halves
	// every penaltyHalfLife. penaltyUpdated is when it last grew.
	flapPenalty    float64
	penaltyUpdated time.Time
	// dampedUntil is when a member that returned often is live again; zero when
	// it is not damped.
	dampedUntil time.Time
}
