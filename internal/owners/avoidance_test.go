package owners

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marjoramflow/marjoramflow/entry"
)

// reserveNow reserves a target for a request that does not wait longer than half a second.
func reserveNow(t *testing.T, n *node, id string, allGroups bool) (*entry.Grant, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	return n.client.Reserve(ctx, entry.GrantRequest{
		ID: id, Service: "chat", Version: "v1", PromptTokens: 10, OutputTokens: 10,
		Deadline: time.Now().Add(5 * time.Second), AskAllGroups: allGroups,
	})
}

// Guards against requests to a target that said in its answers that it leaves, or that it
// wants none for a time, while its owner still grants it.
func TestAvoidedTargetsGetNoRequests(t *testing.T) {
	for _, allGroups := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			net := newNetwork(1)
			a, b := net.startNode(t, "a"), net.startNode(t, "b")
			for _, n := range []*node{a, b} {
				n.setLive([]string{"a", "b"})
			}
			time.Sleep(time.Second)
			first := net.index.Target("t1")
			a.avoidance.Leave(time.Now(), first)
			for i := range 3 * testSlots {
				grant, err := reserveNow(t, a, fmt.Sprint("r", i), allGroups)
				if err == nil {
					assert.Equal(t, grant.Target.Name, "t2")
					a.client.Release(grant, entry.Report{Result: entry.ResultDone})
				}
			}
			a.avoidance.Pause(time.Now(), net.index.Target("t2"), 3*time.Second)
			_, err := reserveNow(t, a, "none", allGroups)
			refusal := entry.AsRefusal(err)
			assert.Equal(t, refusal.Code, entry.CodeNoTarget)
			assert.Assert(t, refusal.RetryAfter > 2*time.Second && refusal.RetryAfter <= 3*time.Second, "%s", refusal.RetryAfter)
			_, err = reserveNow(t, b, "other", allGroups)
			assert.NilError(t, err, "the targets said nothing to this daemon")
			time.Sleep(3 * time.Second)
			grant, err := reserveNow(t, a, "again", allGroups)
			assert.NilError(t, err)
			assert.Equal(t, grant.Target.Name, "t2")
		})
	}
}

// Guards against a request that waits in the queue when its target asks for no more, and gets
// the target all the same.
func TestQueuedRequestGetsNoAvoidedTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork(1)
		a := net.startNode(t, "a")
		a.setLive([]string{"a"})
		time.Sleep(time.Second)
		var held []*entry.Grant
		for i := range 2 * (testSlots + 1) {
			if grant, err := reserveNow(t, a, fmt.Sprint("held", i), false); err == nil {
				held = append(held, grant)
			}
		}
		time.AfterFunc(100*time.Millisecond, func() {
			a.avoidance.Leave(time.Now(), net.index.Target("t1"))
			for _, grant := range held {
				if grant.Target.Name == "t1" {
					a.client.Release(grant, entry.Report{Result: entry.ResultDone})
				}
			}
		})
		grant, err := reserveNow(t, a, "waits", false)
		assert.Assert(t, err != nil, "granted %v", grant)
		for _, grant := range held {
			if grant.Target.Name == "t2" {
				a.client.Release(grant, entry.Report{Result: entry.ResultDone})
			}
		}
		grant, err = reserveNow(t, a, "later", false)
		assert.NilError(t, err)
		assert.Equal(t, grant.Target.Name, "t2")
	})
}
