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
	// opMaybeAbandon may free the key, opMaybeMarkUnknown may mark it unknown and
	// opMaybeComplete may store an answer, each at any time after the call.
	opMaybeAbandon
	opMaybeMarkUnknown
	opMaybeComplete
	opComplete
)

// opInput is one operation on a key by the claim attempt id. The body is that of
// the stored answer.
type opInput struct {
	kind opKind
	key  string
	id   int
	body string
}

// history records operations for porcupine. Calls and returns are numbered in the
// order in which they are recorded.
type history struct {
	mu       sync.Mutex
	position int64
	ops      []porcupine.Operation
	closed   bool
}

// pendingOp is an operation that was called and has not returned.
type pendingOp struct {
	history *history
	input   opInput
	call    int64
}

func (h *history) nextPosition() int64 {
	h.position++
	return h.position
}

func (h *history) beginClaim(key string, id int) *pendingOp {
	h.mu.Lock()
	defer h.mu.Unlock()
	return &pendingOp{history: h, input: opInput{kind: opClaim, key: key, id: id}, call: h.nextPosition()}
}

func (op *pendingOp) endClaim(result Result, err error) {
	h := op.history
	if err != nil {
		h.recordMaybeSince(op.call, op.input.key, opMaybeClaim, op.input.id, "")
		h.recordMaybeSince(op.call, op.input.key, opMaybeAbandon, op.input.id, "")
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	output := result.Outcome.String()
	if result.Answer != nil {
		output = "done/" + string(result.Answer.Body)
	}
	h.add(op.input, output, op.call, h.nextPosition())
}

func (h *history) beginComplete(key string, id int, body string) *pendingOp {
	op := h.beginClaim(key, id)
	op.input.kind, op.input.body = opComplete, body
	return op
}

func (op *pendingOp) endComplete(err error) {
	h := op.history
	if err != nil {
		h.recordMaybeSince(op.call, op.input.key, opMaybeComplete, op.input.id, op.input.body)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.add(op.input, "", op.call, h.nextPosition())
}

// recordMaybe records an operation that may take effect at any later time, or never.
func (h *history) recordMaybe(key string, kind opKind, id int, body string) {
	h.mu.Lock()
	call := h.nextPosition()
	h.mu.Unlock()
	h.recordMaybeSince(call, key, kind, id, body)
}

func (h *history) recordMaybeSince(call int64, key string, kind opKind, id int, body string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.add(opInput{kind: kind, key: key, id: id, body: body}, "", call, math.MaxInt64)
}

// add appends an operation; the caller holds the lock.
func (h *history) add(in opInput, output string, call, ret int64) {
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

// nextKeyStates returns the possible states of a key after an operation, or none
// when the output is not possible in the state. The states are "free",
// "claimed/<id>", "unknown/<id>" and "done/<body>".
func nextKeyStates(state string, in opInput, out string) []string {
	claimedByID := state == fmt.Sprint("claimed/", in.id)
	id := fmt.Sprint(in.id)
	mayBecome := func(applies bool, next string) []string {
		if applies {
			return []string{state, next}
		}
		return []string{state}
	}
	switch in.kind {
	case opMaybeClaim:
		return mayBecome(state == "free", "claimed/"+id)
	case opMaybeAbandon:
		return mayBecome(claimedByID, "free")
	case opMaybeMarkUnknown:
		return mayBecome(claimedByID, "unknown/"+id)
	case opMaybeComplete:
		return mayBecome(claimedByID, "done/"+in.body)
	case opComplete:
		if claimedByID {
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

// keyModel is the porcupine model of the keys, which are independent.
var keyModel = porcupine.NondeterministicModel{
	Partition: func(ops []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range ops {
			key := op.Input.(opInput).key
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
		for _, s := range nextKeyStates(state.(string), in.(opInput), out.(string)) {
			next = append(next, s)
		}
		return next
	},
}

// checkLinearizable returns a problem unless some sequential order of the operations
// explains the history.
func (h *history) checkLinearizable() []string {
	model := keyModel.ToModel()
	const limit = 30 * time.Second
	if result := porcupine.CheckOperationsTimeout(model, h.ops, limit); result != porcupine.Ok {
		return []string{fmt.Sprintf("linearizability of %d operations: %s", len(h.ops), result)}
	}
	return nil
}
