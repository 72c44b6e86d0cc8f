package frontend

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/marjoramflow/marjoramflow/engine"
	"github.com/marjoramflow/marjoramflow/entry"
	"github.com/marjoramflow/marjoramflow/eventlog"
)

// writeTimeout bounds one write to a caller, so that a caller that does not read cannot
// block its request indefinitely.
const writeTimeout = 20 * time.Second

// chatAnswer sends the frames of an answer to the caller, either as server-sent events or
// collected into one JSON document.
type chatAnswer struct {
	call         *call
	stream       bool
	model        string
	controller   *http.ResponseController
	headerSent   bool
	service      string
	firstToken   time.Duration
	lastFrameAt  time.Time
	tokens       int
	content      strings.Builder
	finishReason *string
	usage        *engine.Usage
	// encodedHead is the JSON that starts every event, up to the choices; buffer holds the
	// event that is being written.
	encodedHead []byte
	buffer      []byte
}

func newChatAnswer(c *call, service string, body *chatBody) *chatAnswer {
	return &chatAnswer{
		service:    service,
		call:       c,
		stream:     body.Stream,
		model:      body.Model,
		controller: http.NewResponseController(c.echo.Response()),
	}
}

// eventHead holds the fields that are the same in all events of an answer.
type eventHead struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	Model   string `json:"model"`
}

// Frame implements entry.Sink.
func (a *chatAnswer) Frame(f *engine.Frame) error {
	a.recordTiming()
	if !f.Last {
		a.tokens++
	}
	if f.Usage != nil {
		a.usage = f.Usage
	}
	if !a.stream {
		return a.collect(f)
	}
	return a.writeFrame(f)
}

// writeFrame writes one frame as an event. The choices are copied as the engine encoded
// them, and the head is encoded once for all frames, so that no JSON is encoded per token.
func (a *chatAnswer) writeFrame(f *engine.Frame) error {
	if err := a.encodeHead(); err != nil {
		return err
	}
	a.buffer = append(append(a.buffer[:0], eventStart...), a.encodedHead...)
	a.buffer = append(a.buffer, `,"choices":`...)
	if f.Choices == nil {
		a.buffer = append(a.buffer, "null"...)
	}
	a.buffer = append(a.buffer, f.Choices...)
	if f.Usage != nil {
		usage, err := json.Marshal(f.Usage)
		if err != nil {
			return err
		}
		a.buffer = append(append(a.buffer, `,"usage":`...), usage...)
	}
	a.buffer = append(append(a.buffer, '}'), eventEnd...)
	return a.flush()
}

// encodeHead encodes the fields of eventHead once, without the closing brace.
func (a *chatAnswer) encodeHead() error {
	if a.encodedHead != nil {
		return nil
	}
	head, err := json.Marshal(eventHead{ID: a.call.id, Object: "chat.completion.chunk", Created: a.call.started.Unix(), Model: a.model})
	if err != nil {
		return err
	}
	a.encodedHead = head[:len(head)-1]
	return nil
}

// recordTiming records the time to the first token and the gaps between tokens.
func (a *chatAnswer) recordTiming() {
	now := time.Now()
	if a.firstToken == 0 {
		a.firstToken = now.Sub(a.call.started)
	} else {
		caller := a.call.caller
		a.call.server.Recorder.RecordTokenGap(caller.Tier.Name, caller.Account.Name, a.service, now.Sub(a.lastFrameAt))
	}
	a.lastFrameAt = now
}

// collect appends a frame to the collected answer. It returns an error when the caller has
// disconnected.
func (a *chatAnswer) collect(f *engine.Frame) error {
	choices, err := f.Parse()
	if err != nil {
		return err
	}
	for _, choice := range choices {
		var delta struct {
			Content string `json:"content"`
		}
		if choice.Delta != nil {
			if err := json.Unmarshal(choice.Delta, &delta); err != nil {
				return err
			}
		}
		a.content.WriteString(delta.Content)
		if choice.FinishReason != nil {
			a.finishReason = choice.FinishReason
		}
	}
	return a.call.echo.Request().Context().Err()
}

// writeJSONEvent writes one server-sent event with body encoded as JSON, and flushes it.
func (a *chatAnswer) writeJSONEvent(body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	return a.writeEvent(string(data))
}

// Prefix and suffix of the data of a server-sent event.
const (
	eventStart = "data: "
	eventEnd   = "\n\n"
)

func (a *chatAnswer) writeEvent(data string) error {
	a.buffer = append(append(append(a.buffer[:0], eventStart...), data...), eventEnd...)
	return a.flush()
}

// flush writes the buffer to the caller, after the response header if it was not sent yet.
func (a *chatAnswer) flush() error {
	w := a.call.echo.Response()
	if !a.headerSent {
		a.headerSent = true
		w.Header().Set(echo.HeaderContentType, "text/event-stream")
		w.Header().Set(echo.HeaderCacheControl, "no-cache")
		w.WriteHeader(http.StatusOK)
	}
	// Not every connection supports write deadlines; without one, the write blocks until
	// the caller reads.
	_ = a.controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := w.Write(a.buffer); err != nil {
		return err
	}
	return a.controller.Flush()
}

// finish ends the answer. A stream that has started and failed ends with an error event, so
// that the caller does not take it for complete. If nothing was sent yet, err is returned for
// the caller. Write errors are ignored, because the caller has disconnected.
func (a *chatAnswer) finish(err error) error {
	switch {
	case err == nil && a.stream:
		_ = a.writeEvent("[DONE]")
		return nil
	case err == nil:
		return a.writeCompletion()
	case !a.headerSent:
		return err
	}
	refusal := entry.AsRefusal(err)
	a.call.server.Logger.EmitError(eventlog.RequestFailed, err, eventlog.Fields{"request": a.call.id, "code": string(refusal.Code)})
	_ = a.writeJSONEvent(errorBody(a.call.id, refusal))
	return nil
}

type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completionChoice struct {
	Index        int               `json:"index"`
	Message      completionMessage `json:"message"`
	FinishReason *string           `json:"finish_reason"`
}

type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   *engine.Usage      `json:"usage,omitempty"`
}

// writeCompletion writes the collected answer as one JSON document.
func (a *chatAnswer) writeCompletion() error {
	message := completionMessage{Role: "assistant", Content: a.content.String()}
	_ = a.call.echo.JSON(http.StatusOK, completion{
		ID:      a.call.id,
		Object:  "chat.completion",
		Created: a.call.started.Unix(),
		Model:   a.model,
		Choices: []completionChoice{{Message: message, FinishReason: a.finishReason}},
		Usage:   a.usage,
	})
	return nil
}

// OutcomeHeader is the response header that tells whether a refused request has run.
const OutcomeHeader = "X-Marjoram-Outcome"

// ErrorBody is the JSON body of a refusal.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes a refusal.
type ErrorDetail struct {
	Code      entry.Code    `json:"code"`
	Outcome   entry.Outcome `json:"outcome"`
	Message   string        `json:"message"`
	RequestID string        `json:"request_id"`
}

func errorBody(id string, r *entry.Refusal) ErrorBody {
	return ErrorBody{Error: ErrorDetail{Code: r.Code, Outcome: r.Outcome, Message: r.Message, RequestID: id}}
}

// refuse sends a refusal to the caller. Write errors are ignored, as in chatAnswer.finish.
func refuse(c echo.Context, id string, r *entry.Refusal) error {
	header := c.Response().Header()
	header.Set(OutcomeHeader, string(r.Outcome))
	if r.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	_ = c.JSON(r.Status, errorBody(id, r))
	return nil
}
