package membership

import (
	"time"

	"github.com/marjoramflow/marjoramflow/peer/peerpb"
)

// State is what a table believes about a daemon.
type State uint8

const (
	// Listed daemons are in the VM list, but nobody has heard from them yet.
	Listed State = State(peerpb.MemberState_MEMBER_UNKNOWN)
	// Alive daemons were heard from.
	Alive State = State(peerpb.MemberState_MEMBER_ALIVE)
	// ProbeSoon daemons are silent. They count as live until the grace period ends.
	Suspect State = State(peerpb.MemberState_MEMBER_SUSPECT)
	// Leaving daemons said that they stop. They get no new work.
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

// overrides tells whether m is newer information than the current one. A higher
// incarnation wins; within one incarnation, the worse state wins, and only the
// daemon itself may raise its incarnation.
func (m Member) overrides(current Member) bool {
	if m.Incarnation != current.Incarnation {
		return m.Incarnation > current.Incarnation
	}
	return m.State > current.State
}

// Action is what the caller is asked to do: Probe, Gossip or Changed.
type Action interface{ isAction() }

// Probe asks for a sign of life: open a session with the daemon, or ping it. A
// success is reported with Heard; a failure needs no report.
type Probe struct{ To string }

// Gossip asks to send the members to each of the named daemons.
type Gossip struct {
	To      []string
	Members []Member
}

// Changed tells that a member changed its state.
type Changed struct {
	Member   Member
	Previous State
}

func (Probe) isAction()   {}
func (Gossip) isAction()  {}
func (Changed) isAction() {}

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

// FromProto converts members from the wire. Members without a name or with
// an unknown state are left out.
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

// entry is a member with the evidence of this table.
type entry struct {
	Member
	// heard is the time of the last direct sign of life.
	heard time.Time
	// since is the time of the last change of state.
	since time.Time
	// inList and listLeaving repeat the VM list.
	inList, listLeaving bool
	session             bool
	// watchedSince is the time since which this daemon watches the member;
	// zero when it does not. probed is the time of the last probe.
	watchedSince, probed time.Time
	// penalty counts returns from the dead and halves with time.
	penalty      float64
	penaltySince time.Time
	// dampedUntil keeps a member that came back often out of the live list.
	dampedUntil time.Time
}
