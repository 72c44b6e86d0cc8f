package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/marjoramflow/marjoramflow/bench/standin/faults"
)

// streamWriter sends the tokens of one sequence to its caller.
type streamWriter struct {
	w     http.ResponseWriter
	r     *http.Request
	s     *Server
	seq   *sequence
	id    string
	model string
	hash  uint64
	// received is when the request came in.
	received time.Time
}

// next returns the next token index; ok is false at the end of the answer. It
// aborts the connection when the engine crashes or the caller has gone.
func (t *streamWriter) next(crashed <-chan struct{}) (int, bool) {
	select {
	case <-crashed:
		faults.AbortConnection()
	case <-t.r.Context().Done():
		faults.AbortConnection()
	case i, ok := <-t.seq.out:
		return i, ok
	}
	return 0, false
}

// events sends the answer as server-sent events.
func (t *streamWriter) events() {
	t.w.Header().Set("Content-Type", "text/event-stream")
	t.w.WriteHeader(http.StatusOK)
	flush := t.w.(http.Flusher)
	crashed := t.s.crashed()
	sent := 0
	for {
		i, ok := t.next(crashed)
		if !ok {
			break
		}
		t.applyFaults(sent)
		t.send(t.id, i, Token(t.hash, i), nil)
		sent++
		if len(t.seq.out) == 0 {
			flush.Flush()
		}
	}
	stop := "stop"
	t.send(t.id, t.seq.total, "", &stop)
	fmt.Fprint(t.w, "data: [DONE]\n\n")
	flush.Flush()
}

// applyFaults freezes, cuts or mixes the stream as the switches say.
func (t *streamWriter) applyFaults(sent int) {
	f := t.s.Faults.Get()
	if f.Freeze {
		<-t.r.Context().Done()
		faults.AbortConnection()
	}
	if f.CutAfterTokens > 0 && sent >= f.CutAfterTokens {
		t.w.(http.Flusher).Flush()
		faults.AbortConnection()
	}
	if f.CrossFrames {
		t.send("other-"+t.id, sent, "wrong ", nil)
	}
}

// send writes one chunk. The last chunk carries the usage.
func (t *streamWriter) send(id string, index int, text string, finish *string) {
	d := &delta{Content: text}
	if t.s.config.Stamp {
		d.Received = t.received.UnixNano()
		d.Emitted = time.Now().UnixNano()
	}
	c := chunk{
		ID:         id,
		Object:     "chat.completion.chunk",
		Model:      t.model,
		TokenIndex: index,
		Choices:    []choice{{Delta: d, FinishReason: finish}},
	}
	if finish != nil {
		c.Usage = t.usage()
	}
	data, err := json.Marshal(c)
	if err != nil {
		faults.AbortConnection()
	}
	fmt.Fprintf(t.w, "data: %s\n\n", data)
}

func (t *streamWriter) usage() *usage {
	return &usage{PromptTokens: t.seq.prompt, CompletionTokens: t.seq.total, CachedTokens: t.seq.cached}
}

// whole sends the answer as one JSON document.
func (t *streamWriter) whole() {
	crashed := t.s.crashed()
	var b strings.Builder
	for {
		i, ok := t.next(crashed)
		if !ok {
			break
		}
		t.applyWholeFaults()
		b.WriteString(Token(t.hash, i))
	}
	stop := "stop"
	writeJSON(t.w, chunk{
		ID:         t.id,
		Object:     "chat.completion",
		Model:      t.model,
		TokenIndex: t.seq.total,
		Choices:    []choice{{Message: &delta{Role: "assistant", Content: b.String()}, FinishReason: &stop}},
		Usage:      t.usage(),
	})
}

func (t *streamWriter) applyWholeFaults() {
	if t.s.Faults.Get().Freeze {
		<-t.r.Context().Done()
		faults.AbortConnection()
	}
}
