package idempotency

import (
	"fmt"
	"math"
	"strings"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
)

type opKind int

const (
	opClaim opKind = iota
	// opMaybeClaim is a claim that ended with an error: it may take effect later.
	opMaybeClaim
	// opFree may free the key, opUnknown may mark it unknown, opMaybeComplete may
	// store an answer, at any time after the call.
	opFree
	opUnknown
	opMaybeComplete
	opComplete
)

type input struct {
	kind opKind
	key  string
	id   int
	body string
}

// history records operations for porcupine. Times are positions in one order of
// all calls and returns.
type history struct {
	mu     sync.Mutex
	now    int64
	ops    []porcupine.Operation
	closed bool
}

type recorded struct {
	history *history
	input   input
	call    int64
}

func (h *history) tick() int64 {
	h.now++
	return h.now
}

func (h *history) begin(key string, id int) *recorded {
	h.mu.Lock()
	defer h.mu.Unlock()
	return &recorded{history: h, input: input{kind: opClaim, key: key, id: id}, call: h.tick()}
}

func (r *recorded) end(result Result, err error) {
	h := r.history
	if err != nil {
		h.maybeSince(r.call, r.input.key, opMaybeClaim, r.input.id, "")
		h.maybeSince(r.call, r.input.key, opFree, r.input.id, "")
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	output := result.Outcome.String()
	if result.Answer != nil {
		output = "done/" + string(result.Answer.Body)
	}
	h.add(r.input, output, r.call, h.tick())
}

func (h *history) beginComplete(key string, id int, body string) *recorded {
	r := h.begin(key, id)
	r.input.kind, r.input.body = opComplete, body
	return r
}

func (r *recorded) endComplete(err error) {
	h := r.history
	if err != nil {
		h.maybeSince(r.call, r.input.key, opMaybeComplete, r.input.id, r.input.body)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.add(r.input, "", r.call, h.tick())
}

// maybe records an operation that may take effect at any later time, or never.
func (h *history) maybe(key string, kind opKind, id int, body string) {
	h.mu.Lock()
	call := h.tick()
	h.mu.Unlock()
	h.maybeSince(call, key, kind, id, body)
}

func (h *history) maybeSince(call int64, key string, kind opKind, id int, body string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.add(input{kind: kind, key: key, id: id, body: body}, "", call, math.MaxInt64)
}

// add appends an operation; the caller holds the lock.
func (h *history) add(in input, output string, call, ret int64) {
	if !h.closed {
		h.ops = append(h.ops, porcupine.Operation{ClientId: len(h.ops), Input: in, Output: output, Call: call, Return: ret})
	}
}

// close ends the recording.
func (h *history) close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
}

// step returns the states that may follow a state of one key's register:
// "free", "claimed/<id>", "unknown/<id>" or "done/<body>".
func stepRegister(state string, in input, out string) []string {
	mine := state == fmt.Sprint("claimed/", in.id)
	id := fmt.Sprint(in.id)
	maybe := func(applies bool, next string) []string {
		if applies {
			return []string{state, next}
		}
		return []string{state}
	}
	switch in.kind {
	case opMaybeClaim:
		return maybe(state == "free", "claimed/"+id)
	case opFree:
		return maybe(mine, "free")
	case opUnknown:
		return maybe(mine, "unknown/"+id)
	case opMaybeComplete:
		return maybe(mine, "done/"+in.body)
	case opComplete:
		if mine {
			return []string{"done/" + in.body}
		}
		return nil
	}
	legal := false
	switch out {
	case Claimed.String():
		if state == "free" {
			return []string{"claimed/" + id}
		}
	case InProgress.String():
		legal = strings.HasPrefix(state, "claimed/")
	case Unknown.String():
		legal = strings.HasPrefix(state, "claimed/") || strings.HasPrefix(state, "unknown/")
	default:
		legal = out == state
	}
	if legal {
		return []string{state}
	}
	return nil
}

var registerModel = porcupine.NondeterministicModel{
	Partition: func(ops []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range ops {
			key := op.Input.(input).key
			byKey[key] = append(byKey[key], op)
		}
		var out [][]porcupine.Operation
		for _, part := range byKey {
			out = append(out, part)
		}
		return out
	},
	Init: func() []any { return []any{"free"} },
	Step: func(state, in, out any) []any {
		var next []any
		for _, s := range stepRegister(state.(string), in.(input), out.(string)) {
			next = append(next, s)
		}
		return next
	},
}

// check reports a history that no order of its operations explains.
func (h *history) check() []string {
	model := registerModel.ToModel()
	const limit = 30 * time.Second
	if result := porcupine.CheckOperationsTimeout(model, h.ops, limit); result != porcupine.Ok {
		return []string{fmt.Sprintf("linearizability of %d operations: %s", len(h.ops), result)}
	}
	return nil
}
