package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/marjoramflow/marjoramflow/attempt"
)

const (
	// readerBytes is the buffer per open stream.
	readerBytes = 4 << 10
	// maxFrameBytes bounds one frame.
	maxFrameBytes = 1 << 20
)

var (
	dataPrefix = []byte("data: ")
	doneFrame  = []byte("[DONE]")
)

// Usage counts the tokens of an answer as the engine reports them.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	CachedTokens     int `json:"cached_tokens"`
}

// Frame is one event of a stream.
type Frame struct {
	// Index is the index of the token; frames are returned without gaps.
	Index int
	// Choices is the JSON array as the engine sent it: it is relayed without being
	// decoded, which halves the cost of a token. It is valid until the next call of
	// Next; Parse decodes it.
	Choices json.RawMessage
	// Last is set on the frame that carries the finish reason.
	Last  bool
	Usage *Usage
}

// Choice is one alternative of a frame. Unknown fields of the delta are kept.
type Choice struct {
	Index        int             `json:"index"`
	Delta        json.RawMessage `json:"delta,omitempty"`
	FinishReason *string         `json:"finish_reason"`
}

// Parse decodes the choices of the frame.
func (f *Frame) Parse() ([]Choice, error) {
	var choices []Choice
	if f.Choices == nil {
		return nil, nil
	}
	err := json.Unmarshal(f.Choices, &choices)
	return choices, err
}

// wireFrame is a frame as engines send it.
type wireFrame struct {
	ID         string          `json:"id"`
	TokenIndex *int            `json:"token_index"`
	Choices    json.RawMessage `json:"choices"`
	Usage      *Usage          `json:"usage"`
}

// Stream is the answer to one attempt. It is used by one goroutine.
type Stream struct {
	ctx      context.Context
	cancel   context.CancelCauseFunc
	watchdog *time.Timer
	client   *Client
	call     *Call
	resp     *http.Response
	reader   *bufio.Scanner
	next     int
	finished bool
}

func newStream(ctx context.Context, cancel context.CancelCauseFunc, watchdog *time.Timer, c *Client, call *Call, resp *http.Response) *Stream {
	scanner := bufio.NewScanner(resp.Body)
	scanner.Buffer(make([]byte, 0, readerBytes), maxFrameBytes)
	return &Stream{ctx: ctx, cancel: cancel, watchdog: watchdog, client: c, call: call, resp: resp, reader: scanner, next: call.ResumeFrom}
}

// Next returns the next frame. After the last frame it returns nil, nil. It
// returns *attempt.Error of kind Cut when the stream ends early or skips a token,
// Stalled when no frame came in time, and Canceled when the context ended.
func (s *Stream) Next() (*Frame, error) {
	for s.reader.Scan() {
		line := s.reader.Bytes()
		if !bytes.HasPrefix(line, dataPrefix) {
			continue
		}
		data := line[len(dataPrefix):]
		if bytes.Equal(data, doneFrame) {
			return s.end()
		}
		frame, err := s.accept(data)
		if frame != nil || err != nil {
			return frame, err
		}
	}
	return nil, s.broken(s.reader.Err())
}

// end handles the end marker: it is valid only after a finish reason.
func (s *Stream) end() (*Frame, error) {
	if !s.finished {
		return nil, s.broken(errors.New("end marker before a finish reason"))
	}
	return nil, nil
}

// accept checks the identity and order of one frame. It returns nil, nil for a
// frame to skip.
func (s *Stream) accept(data []byte) (*Frame, error) {
	var w wireFrame
	if err := json.Unmarshal(data, &w); err != nil {
		return nil, s.broken(err)
	}
	if w.ID != s.call.ID {
		s.client.dropped.Add(1)
		return nil, nil
	}
	index := s.next
	if w.TokenIndex != nil {
		index = *w.TokenIndex
	}
	if index < s.next {
		return nil, nil
	}
	if index > s.next {
		return nil, s.broken(fmt.Errorf("token %d came where token %d was due", index, s.next))
	}
	s.watchdog.Reset(s.call.GapTimeout)
	frame := &Frame{Index: index, Choices: w.Choices, Usage: w.Usage}
	var err error
	if frame.Last, err = frame.hasFinish(); err != nil {
		return nil, s.broken(err)
	}
	if frame.Last {
		s.finished = true
	} else {
		s.next++
	}
	return frame, nil
}

// Texts by which frames without a finish reason are recognized. A quotation mark
// inside a JSON string is escaped, so noFinish is never the content of a string.
var (
	finishName = []byte("finish_reason")
	noFinish   = []byte(`"finish_reason":null`)
)

// hasFinish says whether a choice has a finish reason. Frames in which every
// finish reason is null are recognized in the text; all others are decoded.
func (f *Frame) hasFinish() (bool, error) {
	names := bytes.Count(f.Choices, finishName)
	if names > 0 && names == bytes.Count(f.Choices, noFinish) && f.Choices[0] == '[' {
		return false, nil
	}
	choices, err := f.Parse()
	if err != nil {
		return false, err
	}
	for _, c := range choices {
		if c.FinishReason != nil {
			return true, nil
		}
	}
	return false, nil
}

// broken maps the end of a stream to an *attempt.Error.
func (s *Stream) broken(err error) error {
	if err == nil {
		err = errors.New("stream ended before its last frame")
	}
	kind := attempt.Cut
	if s.ctx.Err() != nil {
		kind = attempt.Canceled
	}
	if errors.Is(context.Cause(s.ctx), errStalled) {
		kind = attempt.Stalled
	}
	return s.call.fail(kind, 0, err)
}

// NextToken is the index of the token that is due next.
func (s *Stream) NextToken() int {
	return s.next
}

// Close ends the attempt; the engine sees the connection close and stops.
func (s *Stream) Close() {
	s.watchdog.Stop()
	s.cancel(nil)
	s.resp.Body.Close()
}
