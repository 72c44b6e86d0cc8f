package daemon

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/marjoramflow/marjoramflow/object"
)

func placesSet() *object.Index {
	set := &object.Set{Services: []object.Service{{Name: "s"}}}
	for _, at := range []struct{ name, dataCentre, region string }{{"t1", "a", "north"}, {"t2", "b", "north"}, {"t3", "c", "south"}} {
		set.Targets = append(set.Targets, object.Target{Name: at.name, Service: "s", DataCentre: at.dataCentre, Region: at.region, Versions: []string{"v"}})
	}
	return object.NewIndex(1, set)
}

// Guards against targets that nobody schedules while all daemons of their data
// centre restart (seen as 40% refusals in an incident with restarts in turn).
func TestTargetsOfADataCentreWithoutDaemonsAreAdopted(t *testing.T) {
	p := newPlaces("a", "north")
	p.setLive("a", []string{"a1"})
	p.setLive("b", []string{"b1"})
	p.setLive("c", []string{"c1"})
	p.setIndex(placesSet())
	assert.DeepEqual(t, p.ownersByTarget(), map[string]string{"t1": "a1", "t2": "b1", "t3": "c1"})
	p.setLive("b", nil)
	assert.DeepEqual(t, p.ownersByTarget(), map[string]string{"t1": "a1", "t2": "a1", "t3": "c1"})
	p.setLive("c", nil)
	assert.DeepEqual(t, p.ownersByTarget(), map[string]string{"t1": "a1", "t2": "a1", "t3": "a1"})
	assert.Equal(t, len(p.Local().Groups("s")[0].Targets), 3)
	p.setLive("c", []string{"c2"})
	assert.DeepEqual(t, p.ownersByTarget(), map[string]string{"t1": "a1", "t2": "a1", "t3": "c2"})
	p.setLive("a", nil)
	assert.DeepEqual(t, p.ownersByTarget(), map[string]string{"t1": "c2", "t2": "c2", "t3": "c2"})
}
