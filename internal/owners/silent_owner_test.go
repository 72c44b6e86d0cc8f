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
	time.Sleep(takeoverDelay + 2*tickInterval)
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

// Answers the pattern "all processes start at once": guards against requests that wait in a
// group that is being taken over while another group could run them at once.
func TestOpeningGroupRefusesImmediateRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net, entryNode, owners := threeNodes(t)
		for i := range 10 {
			reserveAnywhere(t, entryNode, fmt.Sprint("warm-up", i))
		}
		manager := owners[0].manager
		manager.events.TryPush(func(now time.Time) {
			for _, s := range manager.groups {
				s.open, s.opensAt = false, now.Add(takeoverDelay)
			}
		})
		synctest.Wait()
		for i := range 5 {
			waited := reserveAnywhere(t, entryNode, fmt.Sprint("r", i))
			assert.Assert(t, waited < 20*time.Millisecond, "request %d waited %v", i, waited)
		}
		assert.Equal(t, len(net.leaks()), 0, "%v", net.leaks())
	})
}
