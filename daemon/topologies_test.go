package daemon

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/marjoramflow/marjoramflow/object"
)

func threeDataCentreIndex() *object.Index {
	set := &object.Set{Services: []object.Service{{Name: "s"}}}
	for _, at := range []struct{ name, dataCentre, region string }{{"t1", "a", "north"}, {"t2", "b", "north"}, {"t3", "c", "south"}} {
		set.Targets = append(set.Targets, object.Target{Name: at.name, Service: "s", DataCentre: at.dataCentre, Region: at.region, Versions: []string{"v"}})
	}
	return object.NewIndex(1, set)
}

// Guards against targets that no daemon schedules while all daemons of their data centre
// restart. In an incident with rolling restarts, this caused 40% refusals.
func TestTargetsOfADataCentreWithoutDaemonsAreAdopted(t *testing.T) {
	ts := newTopologies("a", "north")
	ts.setLive("a", []string{"a1"})
	ts.setLive("b", []string{"b1"})
	ts.setLive("c", []string{"c1"})
	ts.setIndex(threeDataCentreIndex())
	assert.DeepEqual(t, ts.ownersByTarget(), map[string]string{"t1": "a1", "t2": "b1", "t3": "c1"})
	ts.setLive("b", nil)
	assert.DeepEqual(t, ts.ownersByTarget(), map[string]string{"t1": "a1", "t2": "a1", "t3": "c1"})
	ts.setLive("c", nil)
	assert.DeepEqual(t, ts.ownersByTarget(), map[string]string{"t1": "a1", "t2": "a1", "t3": "a1"})
	assert.Equal(t, len(ts.Local().Groups("s")[0].Targets), 3)
	ts.setLive("c", []string{"c2"})
	assert.DeepEqual(t, ts.ownersByTarget(), map[string]string{"t1": "a1", "t2": "a1", "t3": "c2"})
	ts.setLive("a", nil)
	assert.DeepEqual(t, ts.ownersByTarget(), map[string]string{"t1": "c2", "t2": "c2", "t3": "c2"})
}
