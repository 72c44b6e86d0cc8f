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

// recordingMesh records the daemons that it was asked to connect to.
type recordingMesh struct {
	mu       sync.Mutex
	connects []string
}

func (m *recordingMesh) Send(string, *peerpb.Envelope) error { return nil }
func (m *recordingMesh) SetPeers([]peer.Address)             {}

func (m *recordingMesh) Connect(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.connects = append(m.connects, name)
}

func (m *recordingMesh) wasAskedToConnect(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Contains(m.connects, name)
}

func (m *recordingMesh) reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.connects = nil
}

// remoteDaemons are the daemons of another data centre. The manager under test probes
// one of them, which it redials anyway when the session breaks.
var remoteDaemons = []string{"b1", "b2"}

// unprobedDaemon returns the remote daemon that the manager under test does not probe.
func unprobedDaemon() string {
	probed := rendezvous.Owner("self", remoteDaemons)
	return remoteDaemons[1-slices.Index(remoteDaemons, probed)]
}

// fixedVMList lists the remote daemons.
type fixedVMList struct{}

func (fixedVMList) List(context.Context) ([]provider.VM, error) {
	var list []provider.VM
	for _, name := range remoteDaemons {
		list = append(list, provider.VM{Name: name, Address: "127.0.0.1:1", DataCentre: "b", Role: provider.RoleEntry, State: provider.VMLive})
	}
	return list, nil
}

// runManager runs a manager in data centre a; live returns the daemons of data centre b
// that it considers live.
func runManager(t *testing.T, test func(manager *Manager, mesh *recordingMesh, live func() []string)) {
	synctest.Test(t, func(t *testing.T) {
		mesh := &recordingMesh{}
		var mu sync.Mutex
		var lastLive []string
		manager := New(Config{
			Self: membership.Member{Name: "self", DataCentre: "a", Incarnation: 1}, VMs: fixedVMList{}, Logger: eventlog.Discard(),
			OnLiveChanged: func(dataCentre string, daemons []string) {
				mu.Lock()
				defer mu.Unlock()
				if dataCentre == "b" {
					lastLive = daemons
				}
			},
			OnDaemonDead: func(string) {}, OnVMList: func([]provider.VM) {},
		})
		manager.SetMesh(mesh)
		ctx, cancel := context.WithCancel(t.Context())
		var tasks sync.WaitGroup
		tasks.Go(func() { _ = manager.Run(ctx) })
		tasks.Go(func() { _ = manager.RunVMList(ctx) })
		time.Sleep(time.Second)
		for _, name := range remoteDaemons {
			manager.OnSession(name, true, &peerpb.Hello{Name: name, DataCentre: "b", Incarnation: 10})
		}
		time.Sleep(time.Second)
		test(manager, mesh, func() []string {
			mu.Lock()
			defer mu.Unlock()
			return lastLive
		})
		cancel()
		tasks.Wait()
	})
}

// gossipState sends the manager gossip with a state of unprobedDaemon.
func gossipState(manager *Manager, state membership.State, incarnation uint64) {
	members := []membership.Member{{Name: unprobedDaemon(), DataCentre: "b", Incarnation: incarnation, State: state, Address: "127.0.0.1:1"}}
	manager.OnMessage("other", &peerpb.Envelope{Body: &peerpb.Envelope_Members{Members: membership.ToProto(members)}})
}

// Guards against permanently excluding a restarted daemon because neither side dials
// the other. Requests for its target groups were then sent to a daemon that does not
// own them, which refused every one (soak, seed 13).
func TestRestartedDaemonIsRedialled(t *testing.T) {
	runManager(t, func(manager *Manager, mesh *recordingMesh, live func() []string) {
		assert.DeepEqual(t, live(), remoteDaemons)
		mesh.reset()
		manager.OnSession(unprobedDaemon(), false, nil)
		time.Sleep(time.Second)
		assert.Assert(t, !slices.Contains(live(), unprobedDaemon()))
		assert.Assert(t, mesh.wasAskedToConnect(unprobedDaemon()))
	})
}

// Guards against excluding a daemon that left and came back.
func TestDaemonThatCameBackIsLive(t *testing.T) {
	runManager(t, func(manager *Manager, _ *recordingMesh, live func() []string) {
		gossipState(manager, membership.Leaving, 11)
		time.Sleep(time.Second)
		manager.OnSession(unprobedDaemon(), false, nil)
		time.Sleep(time.Second)
		assert.Assert(t, !slices.Contains(live(), unprobedDaemon()))
		gossipState(manager, membership.Alive, 20)
		time.Sleep(time.Second)
		assert.DeepEqual(t, live(), remoteDaemons)
	})
}
