package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/marjoramflow/marjoramflow/bench/standin/faults"
)

// answerWriter sends the answer of one sequence to its caller.
type answerWriter struct {
	w          http.ResponseWriter
	r          *http.Request
	server     *Server
	sequence   *sequence
	id         string
	model      string
	promptHash uint64
	// received is the time at which the request arrived.
	received time.Time
}

// nextToken returns the next token index; ok is false at the end of the answer. It
// aborts the connection when the engine crashes or the caller has gone.
func (a *answerWriter) nextToken(crashed <-chan struct{}) (int, bool) {
	select {
	case <-crashed:
		faults.AbortConnection()
	case <-a.r.Context().Done():
		faults.AbortConnection()
	case i, ok := <-a.sequence.tokens:
		return i, ok
	}
	return 0, false
}

// writeStream sends the answer as server-sent events.
func (a *answerWriter) writeStream() {
	a.w.Header().Set("Content-Type", "text/event-stream")
	a.w.WriteHeader(http.StatusOK)
	flusher := a.w.(http.Flusher)
	crashed := a.server.crashSignal()
	sent := 0
	for {
		i, ok := a.nextToken(crashed)
		if !ok {
			break
		}
		a.applyStreamFaults(sent)
		a.writeChunk(a.id, i, Token(a.promptHash, i), nil)
		sent++
		if len(a.sequence.tokens) == 0 {
			flusher.Flush()
		}
	}
	stop := "stop"
	a.writeChunk(a.id, a.sequence.answerTokens, "", &stop)
	fmt.Fprint(a.w, "data: [DONE]\n\n")
	flusher.Flush()
}

// applyStreamFaults applies the fault switches: it freezes or cuts the stream, or inserts
// a chunk of another request. sent is the number of tokens sent so far.
func (a *answerWriter) applyStreamFaults(sent int) {
	f := a.server.Faults.Get()
	if f.Freeze {
		<-a.r.Context().Done()
		faults.AbortConnection()
	}
	if f.CutAfterTokens > 0 && sent >= f.CutAfterTokens {
		a.w.(http.Flusher).Flush()
		faults.AbortConnection()
	}
	if f.CrossFrames {
		a.writeChunk("other-"+a.id, sent, "wrong ", nil)
	}
}

// writeChunk writes one chunk. finish is nil except for the last chunk, which has the
// usage.
func (a *answerWriter) writeChunk(id string, index int, text string, finish *string) {
	d := &delta{Content: text}
	if a.server.config.Stamp {
		d.Received = a.received.UnixNano()
		d.Emitted = time.Now().UnixNano()
	}
	c := chunk{
		ID:         id,
		Object:     "chat.completion.chunk",
		Model:      a.model,
		TokenIndex: index,
		Choices:    []choice{{Delta: d, FinishReason: finish}},
	}
	if finish != nil {
		c.Usage = a.usage()
	}
	data, err := json.Marshal(c)
	if err != nil {
		faults.AbortConnection()
	}
	fmt.Fprintf(a.w, "data: %s\n\n", data)
}

func (a *answerWriter) usage() *usage {
	return &usage{PromptTokens: a.sequence.promptTokens, CompletionTokens: a.sequence.answerTokens, CachedTokens: a.sequence.cachedTokens}
}

// writeDocument sends the answer as one JSON document.
func (a *answerWriter) writeDocument() {
	crashed := a.server.crashSignal()
	var b strings.Builder
	for {
		i, ok := a.nextToken(crashed)
		if !ok {
			break
		}
		a.applyDocumentFaults()
		b.WriteString(Token(a.promptHash, i))
	}
	stop := "stop"
	writeJSON(a.w, chunk{
		ID:         a.id,
		Object:     "chat.completion",
		Model:      a.model,
		TokenIndex: a.sequence.answerTokens,
		Choices:    []choice{{Message: &delta{Role: "assistant", Content: b.String()}, FinishReason: &stop}},
		Usage:      a.usage(),
	})
}

func (a *answerWriter) applyDocumentFaults() {
	if a.server.Faults.Get().Freeze {
		<-a.r.Context().Done()
		faults.AbortConnection()
	}
}
