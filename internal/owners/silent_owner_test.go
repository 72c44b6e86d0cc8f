package owners

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marjoramflow/marjoramflow/entry"
	"github.com/marjoramflow/marjoramflow/object"
	"github.com/marjoramflow/marjoramflow/owner"
	"github.com/marjoramflow/marjoramflow/peer/peerpb"
)

// indexOfTwoGroups is a service whose targets form two groups.
func indexOfTwoGroups() *object.Index {
	set := &object.Set{Services: testIndex.Set.Services, Versions: testIndex.Set.Versions}
	for i := range 12 {
		set.Targets = append(set.Targets, object.Target{
			Name: fmt.Sprint("t", i), Service: "chat", DataCentre: "a", Region: "r", Address: fmt.Sprint("127.0.0.1:", i+1), Slots: 20, Versions: []string{"v1"},
		})
	}
	return object.NewIndex(1, set)
}

// threeNodes starts an entry and the owners of two groups.
func threeNodes(t *testing.T) (net *network, entryNode *node, owners []*node) {
	net = newNetwork(1)
	net.index = indexOfTwoGroups()
	for _, name := range []string{"n1", "n2", "n3"} {
		net.startNode(t, name)
	}
	net.announceLive()
	time.Sleep(takeoverTime + 2*tickInterval)
	entryNode = net.nodes["n1"]
	for _, g := range entryNode.Local().AllGroups() {
		owners = append(owners, net.nodes[g.Owner])
	}
	for _, name := range []string{"n2", "n3"} {
		if slices.Contains(owners, entryNode) {
			entryNode = net.nodes[name]
		}
	}
	assert.Assert(t, len(owners) == 2 && !slices.Contains(owners, entryNode))
	return net, entryNode, owners
}

// reserveAnywhere asks all groups for a grant and returns how long that took.
func reserveAnywhere(t *testing.T, n *node, id string) time.Duration {
	started := time.Now()
	request := grantRequest(id, 0, time.Minute)
	request.AskAllGroups = true
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	grant, err := n.client.Reserve(ctx, request)
	assert.NilError(t, err)
	n.client.Release(grant, entry.Report{Result: entry.ResultDone})
	return time.Since(started)
}

// Answers the pattern "an owner lost power in a burst": guards against requests that each
// wait 500 ms, more than their objective, for the reply of an owner that is gone, while
// another group has free slots.
func TestSilentOwnerDelaysFewRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net, entryNode, owners := threeNodes(t)
		for i := range 40 {
			reserveAnywhere(t, entryNode, fmt.Sprint("warm-up", i))
		}
		silent := owners[0]
		net.update(func() {
			net.drop = func(from, to string, _ *peerpb.Envelope) bool { return from == silent.name || to == silent.name }
		})
		delayed := 0
		for i := range 50 {
			waited := reserveAnywhere(t, entryNode, fmt.Sprint("r", i))
			assert.Assert(t, waited < 100*time.Millisecond, "request %d waited %v", i, waited)
			if waited > 20*time.Millisecond {
				delayed++
			}
			time.Sleep(10 * time.Millisecond)
		}
		// The silent owner is asked once more in each avoidTime.
		assert.Assert(t, delayed <= 3, "%d requests were delayed", delayed)
		assert.Assert(t, slices.Contains(entryNode.unreachable, silent.name))
	})
}

// Answers the pattern "all processes start at once": guards against requests that wait until
// a takeover is over although slots are free, and against granting more than a part of the
// slots while grants of other daemons may not be registered yet.
func TestTakeoverGrantsAPartOfTheSlotsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net, entryNode, ownerNode := twoNodes(t)
		manager := ownerNode.manager
		takeOver := func() {
			manager.events.TryPush(func(now time.Time) {
				clear(manager.groups)
				manager.applyTopology(now, manager.topology, 1)
			})
		}
		takeOver()
		synctest.Wait()
		started := time.Now()
		var held []*entry.Grant
		const targets = 2
		for i := range targets * (testSlots + owner.DefaultBacklog) {
			grant, err := entryNode.client.Reserve(t.Context(), grantRequest(fmt.Sprint("r", i), 0, time.Minute))
			assert.NilError(t, err)
			held = append(held, grant)
			if i < targets*(testSlots/takeoverSlotsDivisor+owner.DefaultBacklog) {
				assert.Assert(t, time.Since(started) < 20*time.Millisecond, "request %d waited %v", i, time.Since(started))
			} else {
				assert.Assert(t, time.Since(started) >= takeoverTime, "request %d was granted after %v", i, time.Since(started))
			}
		}
		for _, grant := range held {
			entryNode.client.Release(grant, entry.Report{Result: entry.ResultDone})
		}
		time.Sleep(time.Second)
		assert.Equal(t, len(net.leaks()), 0, "%v", net.leaks())
	})
}
