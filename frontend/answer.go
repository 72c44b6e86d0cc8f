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

// writeTimeout bounds one write to a caller, so that a caller that does not read
// holds its request for a bounded time.
const writeTimeout = 20 * time.Second

// answer relays frames to the caller: as server-sent events, or collected into
// one JSON document.
type answer struct {
	call       *call
	stream     bool
	model      string
	controller *http.ResponseController
	started    bool
	service    string
	first      time.Duration
	last       time.Time
	tokens     int
	text       strings.Builder
	finish     *string
	usage      *engine.Usage
	// head is the start of every event, up to the choices; buffer holds the event
	// that is written.
	head   []byte
	buffer []byte
}

func newAnswer(c *call, service string, body *chatBody) *answer {
	return &answer{
		service:    service,
		call:       c,
		stream:     body.Stream,
		model:      body.Model,
		controller: http.NewResponseController(c.echo.Response()),
	}
}

// eventHead holds the fields that all events of an answer share.
type eventHead struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	Model   string `json:"model"`
}

// Frame implements entry.Sink.
func (a *answer) Frame(f *engine.Frame) error {
	a.time()
	if !f.Last {
		a.tokens++
	}
	if f.Usage != nil {
		a.usage = f.Usage
	}
	if !a.stream {
		return a.collect(f)
	}
	return a.relay(f)
}

// relay writes one frame. The choices are passed on as the engine wrote them, and
// the rest of the event is the same for every frame, so that nothing is encoded
// per token.
func (a *answer) relay(f *engine.Frame) error {
	if err := a.encodeHead(); err != nil {
		return err
	}
	a.buffer = append(append(a.buffer[:0], eventStart...), a.head...)
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

// encodeHead encodes the shared fields once, without the closing brace.
func (a *answer) encodeHead() error {
	if a.head != nil {
		return nil
	}
	head, err := json.Marshal(eventHead{ID: a.call.id, Object: "chat.completion.chunk", Created: a.call.started.Unix(), Model: a.model})
	if err != nil {
		return err
	}
	a.head = head[:len(head)-1]
	return nil
}

// time records the time to the first token and the gaps between tokens.
func (a *answer) time() {
	now := time.Now()
	if a.first == 0 {
		a.first = now.Sub(a.call.started)
	} else {
		caller := a.call.caller
		a.call.server.Recorder.RecordTokenGap(caller.Tier.Name, caller.Account.Name, a.service, now.Sub(a.last))
	}
	a.last = now
}

// collect appends a frame to the whole answer and notices a caller that has gone.
func (a *answer) collect(f *engine.Frame) error {
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
		a.text.WriteString(delta.Content)
		if choice.FinishReason != nil {
			a.finish = choice.FinishReason
		}
	}
	return a.call.echo.Request().Context().Err()
}

// send writes one server-sent event and flushes it.
func (a *answer) send(body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	return a.write(string(data))
}

// Text around the data of a server-sent event.
const (
	eventStart = "data: "
	eventEnd   = "\n\n"
)

func (a *answer) write(data string) error {
	a.buffer = append(append(append(a.buffer[:0], eventStart...), data...), eventEnd...)
	return a.flush()
}

// flush writes the buffer to the caller.
func (a *answer) flush() error {
	w := a.call.echo.Response()
	if !a.started {
		a.started = true
		w.Header().Set(echo.HeaderContentType, "text/event-stream")
		w.Header().Set(echo.HeaderCacheControl, "no-cache")
		w.WriteHeader(http.StatusOK)
	}
	// Not every connection supports write deadlines; without one the write waits
	// for the caller.
	_ = a.controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := w.Write(a.buffer); err != nil {
		return err
	}
	return a.controller.Flush()
}

// end closes the answer. A stream that began and failed ends with an explicit
// error event, never silently. Write errors are dropped: the caller has gone, and
// nothing can be told it.
func (a *answer) end(err error) error {
	switch {
	case err == nil && a.stream:
		_ = a.write("[DONE]")
		return nil
	case err == nil:
		return a.whole()
	case !a.started:
		return err
	}
	refusal := entry.AsRefusal(err)
	a.call.server.Logger.EmitError(eventlog.RequestFailed, err, eventlog.Fields{"request": a.call.id, "code": string(refusal.Code)})
	_ = a.send(errorBody(a.call.id, refusal))
	return nil
}

type wholeMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type wholeChoice struct {
	Index        int          `json:"index"`
	Message      wholeMessage `json:"message"`
	FinishReason *string      `json:"finish_reason"`
}

type wholeAnswer struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []wholeChoice `json:"choices"`
	Usage   *engine.Usage `json:"usage,omitempty"`
}

func (a *answer) whole() error {
	message := wholeMessage{Role: "assistant", Content: a.text.String()}
	_ = a.call.echo.JSON(http.StatusOK, wholeAnswer{
		ID:      a.call.id,
		Object:  "chat.completion",
		Created: a.call.started.Unix(),
		Model:   a.model,
		Choices: []wholeChoice{{Message: message, FinishReason: a.finish}},
		Usage:   a.usage,
	})
	return nil
}

// OutcomeHeader says whether a refused request ran.
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

// refuse answers with a refusal. Write errors are dropped as in end.
func refuse(c echo.Context, id string, r *entry.Refusal) error {
	header := c.Response().Header()
	header.Set(OutcomeHeader, string(r.Outcome))
	if r.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	_ = c.JSON(r.Status, errorBody(id, r))
	return nil
}
