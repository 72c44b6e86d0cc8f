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
	// readBufferBytes is the size of the read buffer of an open stream. The buffer grows
	// for longer frames.
	readBufferBytes = 4 << 10
	// maxFrameBytes bounds the size of one frame.
	maxFrameBytes = 1 << 20
)

var (
	dataPrefix = []byte("data: ")
	doneMarker = []byte("[DONE]")
)

// Usage holds the token counts that the engine reports for an answer.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	CachedTokens     int `json:"cached_tokens"`
}

// Frame is one event of a stream.
type Frame struct {
	// Index is the index of the frame's token. Frames are returned without gaps.
	Index int
	// Choices is the JSON array as the engine sent it. It is relayed without being
	// decoded, which halves the cost of a token; Parse decodes it. It is valid until the
	// next call of Next.
	Choices json.RawMessage
	// Last is set on the frame that carries the finish reason.
	Last  bool
	Usage *Usage
}

// Choice is one element of a frame's choices. Unknown fields of the delta are kept.
type Choice struct {
	Index        int             `json:"index"`
	Delta        json.RawMessage `json:"delta,omitempty"`
	FinishReason *string         `json:"finish_reason"`
}

// Parse decodes the choices of the frame. It returns nil if the frame has none.
func (f *Frame) Parse() ([]Choice, error) {
	var choices []Choice
	if f.Choices == nil {
		return nil, nil
	}
	err := json.Unmarshal(f.Choices, &choices)
	return choices, err
}

// wireFrame is the JSON form in which engines send a frame.
type wireFrame struct {
	ID         string          `json:"id"`
	TokenIndex *int            `json:"token_index"`
	Choices    json.RawMessage `json:"choices"`
	Usage      *Usage          `json:"usage"`
}

// Stream is the streamed answer to one attempt. It is not safe for concurrent use.
type Stream struct {
	ctx       context.Context
	cancel    context.CancelCauseFunc
	watchdog  *time.Timer
	client    *Client
	call      *Call
	resp      *http.Response
	scanner   *bufio.Scanner
	nextToken int
	// lastIndex is the index of the last frame, or noIndex before the first one.
	lastIndex        int
	finishReasonSeen bool
}

const noIndex = -1

func newStream(ctx context.Context, cancel context.CancelCauseFunc, watchdog *time.Timer, c *Client, call *Call, resp *http.Response) *Stream {
	scanner := bufio.NewScanner(resp.Body)
	scanner.Buffer(make([]byte, 0, readBufferBytes), maxFrameBytes)
	return &Stream{ctx: ctx, cancel: cancel, watchdog: watchdog, client: c, call: call, resp: resp, scanner: scanner, nextToken: call.ResumeFrom, lastIndex: noIndex}
}

// Next returns the next frame, or nil, nil after the end marker. The error is an
// *attempt.Error of kind Cut when the stream ends early, skips a token or cannot be
// decoded, Stalled when no frame arrived in time, and Canceled when the context ended.
func (s *Stream) Next() (*Frame, error) {
	for s.scanner.Scan() {
		line := s.scanner.Bytes()
		if !bytes.HasPrefix(line, dataPrefix) {
			continue
		}
		data := line[len(dataPrefix):]
		if bytes.Equal(data, doneMarker) {
			return s.handleEndMarker()
		}
		frame, err := s.acceptFrame(data)
		if frame != nil || err != nil {
			return frame, err
		}
	}
	return nil, s.streamError(s.scanner.Err())
}

// handleEndMarker ends the stream. An end marker is valid only after a finish reason.
func (s *Stream) handleEndMarker() (*Frame, error) {
	if !s.finishReasonSeen {
		return nil, s.streamError(errors.New("end marker before a finish reason"))
	}
	return nil, nil
}

// acceptFrame decodes one frame and checks its attempt id and token index. It returns
// nil, nil for a frame of another attempt, for the same token again, and for tokens before
// ResumeFrom. Any other index is an error: a token whose index is wrong must not be dropped.
func (s *Stream) acceptFrame(data []byte) (*Frame, error) {
	var wire wireFrame
	if err := json.Unmarshal(data, &wire); err != nil {
		return nil, s.streamError(err)
	}
	if wire.ID != s.call.ID {
		s.client.droppedFrames.Add(1)
		return nil, nil
	}
	index := s.nextToken
	if wire.TokenIndex != nil {
		index = *wire.TokenIndex
	}
	if s.lastIndex != noIndex && index != s.lastIndex && index != s.lastIndex+1 {
		return nil, s.streamError(fmt.Errorf("received token %d after token %d", index, s.lastIndex))
	}
	s.lastIndex = index
	if index < s.nextToken {
		return nil, nil
	}
	if index > s.nextToken {
		return nil, s.streamError(fmt.Errorf("received token %d, expected token %d", index, s.nextToken))
	}
	s.watchdog.Reset(s.call.FrameGapTimeout)
	frame := &Frame{Index: index, Choices: wire.Choices, Usage: wire.Usage}
	var err error
	if frame.Last, err = frame.hasFinishReason(); err != nil {
		return nil, s.streamError(err)
	}
	if frame.Last {
		s.finishReasonSeen = true
	} else {
		s.nextToken++
	}
	return frame, nil
}

// Texts by which hasFinishReason recognizes frames without a finish reason. Quotation
// marks inside a JSON string are escaped, so nullFinishReason never occurs inside one.
var (
	finishReasonKey  = []byte("finish_reason")
	nullFinishReason = []byte(`"finish_reason":null`)
)

// hasFinishReason reports whether a choice of the frame has a finish reason. Frames in
// which every finish reason is null are recognized without decoding; all others are
// decoded, and the error is that of Parse.
func (f *Frame) hasFinishReason() (bool, error) {
	reasons := bytes.Count(f.Choices, finishReasonKey)
	if reasons > 0 && reasons == bytes.Count(f.Choices, nullFinishReason) && f.Choices[0] == '[' {
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

// streamError returns the *attempt.Error of a stream that ended early. A nil err means that
// the connection ended without an error.
func (s *Stream) streamError(err error) error {
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
	return s.call.newError(kind, 0, err)
}

// NextToken returns the index of the token that is expected next.
func (s *Stream) NextToken() int {
	return s.nextToken
}

// Close ends the attempt and closes its connection, which stops the generation in the
// engine.
func (s *Stream) Close() {
	s.watchdog.Stop()
	s.cancel(nil)
	s.resp.Body.Close()
}
