package entry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marjoramflow/marjoramflow/attempt"
	"github.com/marjoramflow/marjoramflow/idempotency"
	"github.com/marjoramflow/marjoramflow/internal/memtable"
	"github.com/marjoramflow/marjoramflow/object"
	"github.com/marjoramflow/marjoramflow/plainservice"
	"github.com/marjoramflow/marjoramflow/quarantine"
	"github.com/marjoramflow/marjoramflow/retry"
)

// seedCount returns the number of fault schedules: usual, or that in MARJORAM_SEEDS.
func seedCount(usual uint64) uint64 {
	if n, err := strconv.ParseUint(os.Getenv("MARJORAM_SEEDS"), 10, 32); err == nil {
		return n
	}
	return usual
}

// lockedRand is a random source that is safe for concurrent use.
type lockedRand struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func newLockedRand(seed uint64) *lockedRand {
	return &lockedRand{rng: rand.New(rand.NewPCG(seed, 7))}
}

func (d *lockedRand) intN(n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rng.IntN(n)
}

var (
	testTier    = &object.Tier{Name: "top", FirstToken: time.Second, Deadline: 20 * time.Second}
	testCaller  = Caller{Account: &object.ClientAccount{Name: "depot"}, Tier: testTier}
	testService = &object.Service{Name: "records"}
)

// stubs implements the dependencies of a Runner that have no faults.
type stubs struct{}

func (stubs) ObserveAttempt(Observation)               {}
func (stubs) Pick(*object.Service, string) string      { return "v1" }
func (stubs) StateOf(uint64) quarantine.State          { return quarantine.Clear }
func (stubs) RequestFinished(uint64)                   {}
func (stubs) sleep(_ context.Context, d time.Duration) { time.Sleep(d) }

// policyRetries is the RetryPolicy of production.
type policyRetries struct{ policy *retry.Policy }

func (p policyRetries) CountRequest(string) { p.policy.Budget.CountRequest(time.Now()) }
func (p policyRetries) Decide(_ string, a retry.Attempt) retry.Action {
	return p.policy.Decide(time.Now(), a)
}

// blindRetries retries every failed attempt and gives up the last one as not run.
type blindRetries struct{}

func (blindRetries) CountRequest(string) {}
func (blindRetries) Decide(_ string, a retry.Attempt) retry.Action {
	switch {
	case a.Outcome == retry.Answered && a.Status < http.StatusInternalServerError:
		return retry.Action{Kind: retry.Deliver}
	case a.Number >= 3:
		return retry.Action{Kind: retry.GiveUpNotRun}
	}
	return retry.Action{Kind: retry.RetryElsewhere}
}

// refusingGrants refuses one in ten requests at random and grants the others. It counts the
// open grants.
type refusingGrants struct {
	random *lockedRand
	mu     sync.Mutex
	open   map[string]int
}

func (g *refusingGrants) Reserve(_ context.Context, request GrantRequest) (*Grant, error) {
	if g.random.intN(10) == 0 {
		return nil, Refuse(http.StatusServiceUnavailable, CodeOverloaded, "no slot")
	}
	g.count(request.ID, 1)
	return &Grant{Request: request, Target: object.Target{Name: fmt.Sprint("t", g.random.intN(3))}}, nil
}

func (g *refusingGrants) ReportUnresponsive(*Grant)      {}
func (g *refusingGrants) Release(grant *Grant, _ Report) { g.count(grant.Request.ID, -1) }

func (g *refusingGrants) Requeue(ctx context.Context, grant *Grant, report Report) (*Grant, error) {
	g.Release(grant, report)
	return g.Reserve(ctx, grant.Request)
}

func (g *refusingGrants) count(id string, by int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open[id] += by
}

func (g *refusingGrants) check() (problems []string) {
	for id, n := range g.open {
		if n != 0 {
			problems = append(problems, fmt.Sprintf("grant %s is open %d times", id, n))
		}
	}
	return problems
}

// plainTarget is a PlainServices with random faults: it loses requests and answers, crashes,
// stalls and refuses connections. It counts by request id what was sent to it and what it ran,
// and by body what it ran.
type plainTarget struct {
	random     *lockedRand
	mu         sync.Mutex
	sent       map[string]int
	ran        map[string]int
	runsByBody map[string]int
}

func (p *plainTarget) count(counts map[string]int, key string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts[key]++
	return counts[key]
}

func (p *plainTarget) run(call *plainservice.Call) *plainservice.Answer {
	p.count(p.ran, call.ID)
	n := p.count(p.runsByBody, string(call.Body))
	return &plainservice.Answer{Status: http.StatusOK, Body: fmt.Appendf(nil, "%s run %d", call.Body, n)}
}

// Do implements PlainServices.
func (p *plainTarget) Do(ctx context.Context, call *plainservice.Call) (*plainservice.Answer, error) {
	fail := func(kind attempt.Kind) (*plainservice.Answer, error) {
		return nil, &attempt.Error{Kind: kind, Target: call.Target, Err: errors.New("injected")}
	}
	fault := p.random.intN(10)
	if fault == 0 {
		return fail(attempt.NotSent)
	}
	p.count(p.sent, call.ID)
	time.Sleep(time.Duration(p.random.intN(200)) * time.Millisecond)
	switch fault {
	case 1: // request lost
		return fail(attempt.MaybeSent)
	case 2: // answer lost
		p.run(call)
		return fail(attempt.MaybeSent)
	case 3: // runs after its connection broke
		go func() {
			time.Sleep(time.Second)
			p.run(call)
		}()
		return fail(attempt.MaybeSent)
	case 4: // crashes during the answer
		p.run(call)
		return fail(attempt.Cut)
	case 5: // stalls
		p.run(call)
		<-ctx.Done()
		return fail(attempt.Stalled)
	case 6:
		p.run(call)
		return &plainservice.Answer{Status: http.StatusInternalServerError}, nil
	case 7:
		return &plainservice.Answer{Status: http.StatusServiceUnavailable}, nil
	}
	return p.run(call), nil
}

// runPlainCalls runs the calls of one seed on two Runners with a shared table, and returns the
// violations it found.
func runPlainCalls(seed uint64, retries RetryPolicy) (problems []string) {
	random := newLockedRand(seed)
	target := &plainTarget{random: random, sent: map[string]int{}, ran: map[string]int{}, runsByBody: map[string]int{}}
	grants := &refusingGrants{random: random, open: map[string]int{}}
	table := memtable.New()
	table.SetFailure(func(bool) memtable.Failure { return memtable.Failure(max(0, random.intN(12)-8)) })
	ctx, cancel := context.WithCancel(context.Background())
	var runners []*Runner
	var tasks, calls sync.WaitGroup
	for range 2 {
		claims := idempotency.New(table, idempotency.Options{})
		tasks.Go(func() { _ = claims.Run(ctx) })
		s := stubs{}
		runners = append(runners, New(Config{Grants: grants, PlainServices: target, VersionPicker: s, Observer: s, IdempotencyKeys: claims, Quarantine: s, RetryPolicy: retries, HedgePolicy: noHedges{}, Sleep: s.sleep}))
	}
	var mu sync.Mutex
	notRun := map[string]bool{}
	answers := map[string]map[string]bool{}
	nonIdempotent := map[string]bool{} // request ids of routes that are not idempotent
	keys := map[string]bool{}
	call := func(id, body, key string, idempotent bool) {
		r := &PlainRequest{
			ID: id, Caller: testCaller, Service: testService, Body: []byte(body), Key: key, Fingerprint: 1,
			Route: &object.Route{Method: http.MethodPost, Idempotent: idempotent}, Deadline: time.Now().Add(5 * time.Second),
		}
		answer, err := runners[random.intN(2)].Plain(ctx, r)
		mu.Lock()
		defer mu.Unlock()
		nonIdempotent[id] = !idempotent
		if err != nil {
			notRun[id] = AsRefusal(err).Outcome == OutcomeNotRun
			return
		}
		if key != "" && answer.Status == http.StatusOK {
			if answers[key] == nil {
				answers[key] = map[string]bool{}
			}
			answers[key][string(answer.Body)] = true
		}
	}
	for i := range 6 {
		name := fmt.Sprint("k", i)
		keys[name] = true
		for c := range 2 {
			calls.Go(func() {
				for n := range 3 {
					time.Sleep(time.Duration(random.intN(2000)) * time.Millisecond)
					call(fmt.Sprint(name, ".", c, ".", n), name, name, false)
				}
			})
		}
		calls.Go(func() { call(fmt.Sprint("once", i), fmt.Sprint("once", i), "", false) })
		calls.Go(func() { call(fmt.Sprint("again", i), fmt.Sprint("again", i), "", true) })
	}
	calls.Wait()
	time.Sleep(3 * time.Minute) // delayed runs and records
	cancel()
	tasks.Wait()
	synctest.Wait()
	for id, reportedNotRun := range notRun {
		if reportedNotRun && target.ran[id] > 0 {
			problems = append(problems, fmt.Sprintf("%s ran, but its refusal says not run", id))
		}
	}
	for id, onlyOnce := range nonIdempotent {
		if onlyOnce && target.sent[id] > 1 {
			problems = append(problems, fmt.Sprintf("%s was sent %d times", id, target.sent[id]))
		}
	}
	for key := range keys {
		if target.runsByBody[key] > 1 {
			problems = append(problems, fmt.Sprintf("key %s ran %d times", key, target.runsByBody[key]))
		}
		if len(answers[key]) > 1 {
			problems = append(problems, fmt.Sprintf("key %s has %d answers", key, len(answers[key])))
		}
	}
	return append(problems, grants.check()...)
}

// Guards against a call that runs twice, a false "not run", and a grant that is not released,
// while the table, the connections and the target fail.
func TestPlainCallsUnderFaults(t *testing.T) {
	for seed := range seedCount(40) {
		synctest.Test(t, func(t *testing.T) {
			if problems := runPlainCalls(seed, policyRetries{retry.NewPolicy()}); len(problems) > 0 {
				t.Errorf("seed %d: %v", seed, problems)
			}
		})
	}
}

// Shows that the checks of runPlainCalls can fail: they must detect a policy that retries
// blindly.
func TestPlainChecksFindBlindRetries(t *testing.T) {
	found := 0
	for seed := range uint64(5) {
		synctest.Test(t, func(*testing.T) { found += len(runPlainCalls(seed, blindRetries{})) })
	}
	assert.Assert(t, found > 0)
}
