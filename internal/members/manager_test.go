package members

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marjoramflow/marjoramflow/eventlog"
	"github.com/marjoramflow/marjoramflow/membership"
	"github.com/marjoramflow/marjoramflow/peer"
	"github.com/marjoramflow/marjoramflow/peer/peerpb"
	"github.com/marjoramflow/marjoramflow/provider"
	"github.com/marjoramflow/marjoramflow/rendezvous"
)

// quietMesh records whom it was asked to connect to.
type quietMesh struct {
	mu    sync.Mutex
	asked []string
}

func (m *quietMesh) Send(string, *peerpb.Envelope) error { return nil }
func (m *quietMesh) SetPeers([]peer.Address)             {}

func (m *quietMesh) Connect(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.asked = append(m.asked, name)
}

func (m *quietMesh) has(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Contains(m.asked, name)
}

func (m *quietMesh) forget() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.asked = nil
}

// others are the daemons of another data centre. One of them is watched, and sought
// anyway when its session breaks; far is the other one.
var others = []string{"b1", "b2"}

func far() string {
	watched := rendezvous.Owner("self", others)
	return others[1-slices.Index(others, watched)]
}

// fixedList lists the others.
type fixedList struct{}

func (fixedList) List(context.Context) ([]provider.VM, error) {
	var list []provider.VM
	for _, name := range others {
		list = append(list, provider.VM{Name: name, Address: "127.0.0.1:1", DataCentre: "b", Role: provider.RoleEntry, State: provider.VMLive})
	}
	return list, nil
}

// watchFar runs a duty in data centre a and returns what it holds for live in b.
func watchFar(t *testing.T, test func(d *Manager, mesh *quietMesh, live func() []string)) {
	synctest.Test(t, func(t *testing.T) {
		mesh := &quietMesh{}
		var mu sync.Mutex
		var last []string
		d := New(Config{
			Self: membership.Member{Name: "self", DataCentre: "a", Incarnation: 1}, VMs: fixedList{}, Logger: eventlog.Discard(),
			OnLive: func(dataCentre string, daemons []string) {
				mu.Lock()
				defer mu.Unlock()
				if dataCentre == "b" {
					last = daemons
				}
			},
			OnGone: func(string) {}, OnList: func([]provider.VM) {},
		})
		d.SetMesh(mesh)
		ctx, cancel := context.WithCancel(t.Context())
		var tasks sync.WaitGroup
		tasks.Go(func() { _ = d.Run(ctx) })
		tasks.Go(func() { _ = d.RunVMList(ctx) })
		time.Sleep(time.Second)
		for _, name := range others {
			d.OnSession(name, true, &peerpb.Hello{Name: name, DataCentre: "b", Incarnation: 10})
		}
		time.Sleep(time.Second)
		test(d, mesh, func() []string {
			mu.Lock()
			defer mu.Unlock()
			return last
		})
		cancel()
		tasks.Wait()
	})
}

// tellFar gossips a state of the daemon.
func tellFar(d *Manager, state membership.State, incarnation uint64) {
	members := []membership.Member{{Name: far(), DataCentre: "b", Incarnation: incarnation, State: state, Address: "127.0.0.1:1"}}
	d.OnMessage("other", &peerpb.Envelope{Body: &peerpb.Envelope_Members{Members: membership.ToProto(members)}})
}

// Guards against a daemon that was restarted and is left out for good, since neither
// side dials the other: its groups were asked at a daemon that does not own them, and
// every request for them was refused (soak, seed 13).
func TestRestartedDaemonIsSought(t *testing.T) {
	watchFar(t, func(d *Manager, mesh *quietMesh, live func() []string) {
		assert.DeepEqual(t, live(), others)
		mesh.forget()
		d.OnSession(far(), false, nil)
		time.Sleep(time.Second)
		assert.Assert(t, !slices.Contains(live(), far()))
		assert.Assert(t, mesh.has(far()))
	})
}

// Guards against a daemon that left, came back and is still taken as lost.
func TestDaemonThatCameBackIsLive(t *testing.T) {
	watchFar(t, func(d *Manager, _ *quietMesh, live func() []string) {
		tellFar(d, membership.Leaving, 11)
		time.Sleep(time.Second)
		d.OnSession(far(), false, nil)
		time.Sleep(time.Second)
		assert.Assert(t, !slices.Contains(live(), far()))
		tellFar(d, membership.Alive, 20)
		time.Sleep(time.Second)
		assert.DeepEqual(t, live(), others)
	})
}
