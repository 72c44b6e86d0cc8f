package daemon

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marjoramflow/marjoramflow/catalog"
	"github.com/marjoramflow/marjoramflow/eventlog"
	"github.com/marjoramflow/marjoramflow/internal/memtable"
	"github.com/marjoramflow/marjoramflow/object"
	"github.com/marjoramflow/marjoramflow/provider"
	"github.com/marjoramflow/marjoramflow/rollout"
)

// orderedService is a service with a target of each of three versions, whose orders a new handler
// takes each time, as a daemon does that has just started.
type orderedService struct {
	t        *testing.T
	table    *memtable.Table
	state    *catalog.State
	revision uint64
}

func newOrderedService(t *testing.T) *orderedService {
	s := &orderedService{t: t, table: memtable.New(), state: catalog.NewState(map[string]string{"a": "r"})}
	s.state.SetManifest(&catalog.Manifest{Version: 1, Services: []object.Service{{Name: "s", Kind: object.PlainService, Discovered: true}}})
	for i, version := range []string{"v1", "v2", "v3"} {
		s.state.SetInstance(catalog.Instance{ID: version, Service: "s", Version: version, DataCentre: "a", Address: fmt.Sprintf("10.0.0.%d:1", i+1), Slots: 1})
	}
	return s
}

// order takes an order for a version and returns it.
func (s *orderedService) order(to string, registered ...string) catalog.Order {
	s.revision++
	order := catalog.Order{Service: "s", To: to, MaxDuration: 12 * time.Second, Revision: s.revision}
	s.accept(order, registered...)
	return order
}

func (s *orderedService) accept(order catalog.Order, registered ...string) {
	h := newOrderHandler(orderHandlerConfig{
		table: s.table, logger: eventlog.Discard(), setMove: s.state.SetMove,
		registeredVersions: func(string) []string { return registered },
	})
	h.ctx = s.t.Context()
	h.accept(order)
	h.tasks.Wait()
}

// record writes the row of an order's move, as the holder of its lease does, and returns the
// error of the table.
func (s *orderedService) record(order catalog.Order, phase rollout.Phase) error {
	key := rollout.RowKey(order.MoveName())
	rows, err := s.table.Get(s.t.Context(), key)
	assert.NilError(s.t, err)
	row := rollout.Row{Move: order.MoveName(), Service: "s", Phase: phase}
	return s.table.Commit(s.t.Context(), provider.Write{Key: key, Value: row.Encode(), IfVersion: rows[0].Version})
}

// versions returns the versions that each target belongs to.
func (s *orderedService) versions() map[string][]string {
	set := s.state.Build()
	assert.NilError(s.t, set.Check().Err())
	versions := make(map[string][]string)
	for _, target := range set.Targets {
		versions[target.Name] = target.Versions
	}
	return versions
}

// Guards against a version that was taken back and counts as a part of the stable version as
// soon as another one is ordered, which brings it most of the requests.
func TestVersionTakenBackGetsNoRequestsWithTheNextOrder(t *testing.T) {
	s := newOrderedService(t)
	assert.NilError(t, s.record(s.order("v2", "v1", "v2"), rollout.Reversed))
	third := s.order("v3", "v1", "v2", "v3")
	want := map[string][]string{"v1": {"s.stable"}, "v2": {"s.withdrawn"}, "v3": {"s.canary"}}
	assert.DeepEqual(t, s.versions(), want)

	assert.NilError(t, s.record(third, rollout.Done))
	s.order("v4")
	want = map[string][]string{"v1": {"s.stable"}, "v2": {"s.withdrawn"}, "v3": {"s.stable"}}
	assert.DeepEqual(t, s.versions(), want)

	// A version may be ordered again.
	s.order("v2")
	assert.DeepEqual(t, s.versions()["v2"], []string{"s.canary"})
}

// Guards against a version on trial that gets all requests when its order is replaced before it
// has ended, and against a move that is done after that.
func TestReplacedOrderWithdrawsItsVersion(t *testing.T) {
	s := newOrderedService(t)
	second := s.order("v2", "v1", "v2")
	assert.NilError(t, s.record(second, rollout.Soaking))
	rows, err := s.table.Get(t.Context(), rollout.RowKey(second.MoveName()))
	assert.NilError(t, err)
	s.order("v1", "v1", "v2")
	want := map[string][]string{"v1": {"s.stable", "s.canary"}, "v2": {"s.withdrawn"}, "v3": {"s.stable"}}
	assert.DeepEqual(t, s.versions(), want)

	done := rollout.Row{Move: second.MoveName(), Service: "s", Phase: rollout.Done}
	err = s.table.Commit(t.Context(), provider.Write{Key: rows[0].Key, Value: done.Encode(), IfVersion: rows[0].Version})
	var conflict *provider.ConflictError
	assert.Assert(t, err != nil)
	assert.ErrorType(t, err, conflict)
}

// Guards against an order that a daemon learns of late and records in place of a newer one.
func TestLateOrderDoesNotReplaceANewerOne(t *testing.T) {
	s := newOrderedService(t)
	second := s.order("v2", "v1")
	s.order("v3", "v1")
	s.accept(second)
	assert.DeepEqual(t, s.versions()["v3"], []string{"s.canary"})
	h := newOrderHandler(orderHandlerConfig{table: s.table})
	row, _, err := h.readOrderRow(t.Context(), orderRowKey("s"))
	assert.NilError(t, err)
	assert.Equal(t, row.To, "v3")
}
