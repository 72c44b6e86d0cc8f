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

// recordingMesh records the daemons that it was asked to connect to, those that were pinged
// and those that were reported as dead.
type recordingMesh struct {
	mu       sync.Mutex
	connects []string
	pinged   []string
	dead     []string
}

func (m *recordingMesh) SetPeers([]peer.Address) {}

func (m *recordingMesh) Send(to string, message *peerpb.Envelope) error {
	if message.GetPing() != nil {
		m.record(&m.pinged, to)
	}
	return nil
}

// record appends a daemon to one of the lists.
func (m *recordingMesh) record(list *[]string, name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	*list = append(*list, name)
}

// recorded returns a copy of one of the lists.
func (m *recordingMesh) recorded(list *[]string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(*list)
}

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
			OnDaemonDead: func(daemon string) { mesh.record(&mesh.dead, daemon) }, OnVMList: func([]provider.VM) {},
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

// Answers the pattern "an owner lost power in a burst": guards against a silent daemon that
// stays live until its probes are missed, and against one that stays excluded after it was
// heard.
func TestSilentDaemonIsExcludedUntilItIsHeard(t *testing.T) {
	runManager(t, func(manager *Manager, mesh *recordingMesh, live func() []string) {
		silent := unprobedDaemon()
		time.Sleep(heardInterval)
		manager.ReportUnanswered(silent)
		synctest.Wait()
		assert.DeepEqual(t, mesh.recorded(&mesh.pinged), []string{silent})
		assert.DeepEqual(t, live(), remoteDaemons)
		time.Sleep(700 * time.Millisecond)
		assert.Assert(t, !slices.Contains(live(), silent))
		manager.OnMessage(silent, &peerpb.Envelope{Body: &peerpb.Envelope_Pong{Pong: &peerpb.Pong{}}})
		synctest.Wait()
		assert.DeepEqual(t, live(), remoteDaemons)
	})
}

// Guards against a slow verdict although another daemon misses an answer too.
func TestReportOfAnotherDaemonShortensTheWait(t *testing.T) {
	runManager(t, func(manager *Manager, _ *recordingMesh, live func() []string) {
		silent := unprobedDaemon()
		time.Sleep(heardInterval)
		manager.ReportUnanswered(silent)
		manager.OnMessage("other", &peerpb.Envelope{Body: &peerpb.Envelope_Unanswered{Unanswered: &peerpb.Unanswered{Daemon: silent}}})
		time.Sleep(300 * time.Millisecond)
		assert.Assert(t, !slices.Contains(live(), silent))
	})
}

// Guards against slots that stay in use by the requests of a process that was killed, and
// against dropping the requests of a process whose session only broke.
func TestNewProcessEndsTheRequestsOfTheOldOne(t *testing.T) {
	runManager(t, func(manager *Manager, mesh *recordingMesh, _ func() []string) {
		name := unprobedDaemon()
		manager.OnSession(name, false, nil)
		manager.OnSession(name, true, &peerpb.Hello{Name: name, DataCentre: "b", Incarnation: 10})
		assert.Equal(t, len(mesh.recorded(&mesh.dead)), 0)
		manager.OnSession(name, false, nil)
		manager.OnSession(name, true, &peerpb.Hello{Name: name, DataCentre: "b", Incarnation: 11})
		assert.DeepEqual(t, mesh.recorded(&mesh.dead), []string{name})
	})
}
