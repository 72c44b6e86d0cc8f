// Package caller sends requests to daemons as callers do and checks the answers:
// that each is whole, belongs to its own request, and that refusals say what
// became of the request.
package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/marjoramflow/marjoramflow/bench/standin/engine"
)

// Outcomes of a request as its caller sees it.
const (
	// Complete is a whole answer to the caller's own request.
	Complete = "whole"
	// Wrong is an answer that is not the expected one.
	Wrong = "wrong"
	// NotRun and Unknown are refusals.
	NotRun  = "not_run"
	Unknown = "unknown"
	// Failed is an explicit error event after a part of the answer.
	Failed = "failed"
	// Broken is a connection that ended without an answer or an error event.
	Broken = "broken"
)

// Result is what became of one request.
type Result struct {
	Outcome string
	Status  int
	// Code is the code of a refusal or of an error event.
	Code       string
	Message    string
	FirstToken time.Duration
	Total      time.Duration
	// Gaps are the times between tokens.
	Gaps   []time.Duration
	Tokens int
	// FirstTokenTransit is the time of the first token outside the engine: from the caller
	// to the engine and back. Transits are the times of tokens from the engine to
	// the caller. Both need an engine that stamps its tokens.
	FirstTokenTransit time.Duration
	Transits          []time.Duration
	RetryAfter        time.Duration
	// Body is the answer of a plain service.
	Body string
}

// Client is one caller. It is safe for concurrent use.
type Client struct {
	// Token is the bearer token of the client account.
	Token string
	// KeepGaps records the times between tokens.
	KeepGaps bool
	HTTP     *http.Client
}

// New returns a client with its own connections.
func New(token string) *Client {
	return &Client{
		Token: token,
		HTTP:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 10 * time.Second}},
	}
}

// Chat describes a chat completion.
type Chat struct {
	Service   string
	Prompt    string
	MaxTokens int
	// ID is the request id; the daemon makes one when it is empty.
	ID string
	// OnToken is called after each token of the answer, if it is set.
	OnToken func()
}

type chatBody struct {
	Model     string           `json:"model"`
	Stream    bool             `json:"stream"`
	MaxTokens int              `json:"max_tokens"`
	Messages  []engine.Message `json:"messages"`
}

type errorBody struct {
	Error *struct {
		Code    string `json:"code"`
		Outcome string `json:"outcome"`
		Message string `json:"message"`
	} `json:"error"`
}

// Chat sends a streamed chat completion and checks the answer.
func (c *Client) Chat(ctx context.Context, address string, chat Chat) Result {
	messages := []engine.Message{{Role: "user", Content: chat.Prompt}}
	body, err := json.Marshal(chatBody{Model: chat.Service, Stream: true, MaxTokens: chat.MaxTokens, Messages: messages})
	if err != nil {
		return Result{Outcome: Broken, Message: err.Error()}
	}
	started := time.Now()
	header := http.Header{}
	if chat.ID != "" {
		header.Set("X-Request-Id", chat.ID)
	}
	resp, err := c.send(ctx, http.MethodPost, address, "/v1/chat/completions", header, body)
	if err != nil {
		return Result{Outcome: Broken, Message: err.Error(), Total: time.Since(started)}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return refusal(resp, started)
	}
	result := c.readStream(resp.Body, started, engine.Answer(messages, chat.MaxTokens), chat.OnToken)
	result.Status = resp.StatusCode
	result.Total = time.Since(started)
	return result
}

func (c *Client) send(ctx context.Context, method, address, path string, header http.Header, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header = header
	req.Header.Set("Authorization", "Bearer "+c.Token)
	return c.HTTP.Do(req)
}

func refusal(resp *http.Response, started time.Time) Result {
	r := Result{Outcome: Unknown, Status: resp.StatusCode, Total: time.Since(started)}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		r.Outcome = Broken
		return r
	}
	var body errorBody
	if json.Unmarshal(data, &body) == nil && body.Error != nil {
		r.Code = body.Error.Code
		r.Outcome = body.Error.Outcome
		r.Message = body.Error.Message
	}
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		r.RetryAfter = time.Duration(seconds) * time.Second
	}
	return r
}

// readStream reads server-sent events and compares the text with want.
func (c *Client) readStream(body io.Reader, started time.Time, want string, onToken func()) Result {
	var r Result
	var text strings.Builder
	last := started
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			r.Outcome = Complete
			if text.String() != want {
				r.Outcome = Wrong
				r.Message = fmt.Sprintf("got %.80q, want %.80q", text.String(), want)
			}
			return r
		}
		now := time.Now()
		token, err := parseEvent(data, &r)
		if err != nil {
			return r
		}
		if token.Content == "" {
			continue
		}
		text.WriteString(token.Content)
		if token.Emitted != 0 {
			r.stamp(token, started, now)
		}
		r.Tokens++
		if onToken != nil {
			onToken()
		}
		if r.FirstToken == 0 {
			r.FirstToken = now.Sub(started)
		} else if c.KeepGaps {
			r.Gaps = append(r.Gaps, now.Sub(last))
		}
		last = now
	}
	r.Outcome = Broken
	return r
}

// errEnded ends the reading of a stream; the result says why.
var errEnded = errors.New("stream ended")

// token is the delta of one event.
type token struct {
	Content           string `json:"content"`
	Received, Emitted int64
}

// stamp records the times that an engine wrote into a token.
func (r *Result) stamp(t token, started, now time.Time) {
	transit := now.Sub(time.Unix(0, t.Emitted))
	if r.Tokens == 0 {
		r.FirstTokenTransit = time.Unix(0, t.Received).Sub(started) + transit
	}
	r.Transits = append(r.Transits, transit)
}

func parseEvent(data string, r *Result) (token, error) {
	var event struct {
		errorBody
		Choices []struct {
			Delta token `json:"delta"`
		} `json:"choices"`
	}
	if err := json.Unmarshal([]byte(data), &event); err != nil {
		r.Outcome = Wrong
		r.Message = err.Error()
		return token{}, errEnded
	}
	if event.Error != nil {
		r.Outcome = Failed
		r.Code = event.Error.Code
		r.Message = event.Error.Message
		return token{}, errEnded
	}
	if len(event.Choices) == 0 {
		return token{}, nil
	}
	return event.Choices[0].Delta, nil
}

// Plain describes a call of a plain service.
type Plain struct {
	Method string
	Path   string
	Body   string
	Key    string
	ID     string
}

// Plain sends a call of a plain service. A whole answer is one with a status
// below 500 that repeats the body.
func (c *Client) Plain(ctx context.Context, address string, plain Plain) Result {
	started := time.Now()
	header := http.Header{}
	if plain.Key != "" {
		header.Set("Idempotency-Key", plain.Key)
	}
	if plain.ID != "" {
		header.Set("X-Request-Id", plain.ID)
	}
	resp, err := c.send(ctx, plain.Method, address, plain.Path, header, []byte(plain.Body))
	if err != nil {
		return Result{Outcome: Broken, Message: err.Error(), Total: time.Since(started)}
	}
	defer resp.Body.Close()
	if resp.Header.Get("X-Marjoram-Outcome") != "" {
		return refusal(resp, started)
	}
	r := Result{Status: resp.StatusCode, Outcome: Failed}
	data, err := io.ReadAll(resp.Body)
	r.Total = time.Since(started)
	if err != nil {
		r.Outcome = Broken
		return r
	}
	r.Body = string(data)
	if resp.StatusCode < http.StatusInternalServerError {
		r.Outcome = checkBody(data, plain.Body)
	}
	return r
}

func checkBody(data []byte, want string) string {
	var answer struct{ Body string }
	if json.Unmarshal(data, &answer) != nil || answer.Body != want {
		return Wrong
	}
	return Complete
}
