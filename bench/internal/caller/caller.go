// Package caller sends requests to daemons as callers do. It checks that each
// answer is complete and belongs to its own request, and reads from a refusal
// whether the request was run.
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
	// NotRun is a refusal that says that the request was not run; Unknown is one
	// after which it may have been run.
	NotRun  = "not_run"
	Unknown = "unknown"
	// Failed is an error event in a stream, or a plain service's own answer with status
	// 500 or above.
	Failed = "failed"
	// Broken is a connection that ended without an answer or an error event.
	Broken = "broken"
)

// Result is the outcome of one request with its times.
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
	// FirstTokenTransit is the time that the request and its first token spent outside
	// the engine: from the caller to the engine and back. Transits holds the time of
	// each token from the engine to the caller. Both need an engine that writes its
	// times into its tokens (engine.Config.Stamp).
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
	// RecordGaps makes Chat fill in Result.Gaps.
	RecordGaps bool
	HTTP       *http.Client
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
	// ID is the request id; the daemon generates one when it is empty.
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
		return readRefusal(resp, started)
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

// readRefusal reads the error in the body of a refusal. The outcome is Unknown without
// one, and Broken if the connection ended before the whole body arrived.
func readRefusal(resp *http.Response, started time.Time) Result {
	result := Result{Outcome: Unknown, Status: resp.StatusCode, Total: time.Since(started)}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		result.Outcome = Broken
		return result
	}
	var body errorBody
	if json.Unmarshal(data, &body) == nil && body.Error != nil {
		result.Code = body.Error.Code
		result.Outcome = body.Error.Outcome
		result.Message = body.Error.Message
	}
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		result.RetryAfter = time.Duration(seconds) * time.Second
	}
	return result
}

// readStream reads server-sent events until the last one and compares the joined
// text with want. It calls onToken, unless nil, after each token.
func (c *Client) readStream(body io.Reader, started time.Time, want string, onToken func()) Result {
	var result Result
	var text strings.Builder
	previous := started
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			result.Outcome = Complete
			if text.String() != want {
				result.Outcome = Wrong
				result.Message = fmt.Sprintf("got %.80q, want %.80q", text.String(), want)
			}
			return result
		}
		now := time.Now()
		token, err := parseEvent(data, &result)
		if err != nil {
			return result
		}
		if token.Content == "" {
			continue
		}
		text.WriteString(token.Content)
		if token.Emitted != 0 {
			result.addTransit(token, started, now)
		}
		result.Tokens++
		if onToken != nil {
			onToken()
		}
		if result.FirstToken == 0 {
			result.FirstToken = now.Sub(started)
		} else if c.RecordGaps {
			result.Gaps = append(result.Gaps, now.Sub(previous))
		}
		previous = now
	}
	result.Outcome = Broken
	return result
}

// errStreamEnded makes readStream stop; the result has the reason.
var errStreamEnded = errors.New("stream ended")

// tokenDelta is the delta of one event. Received and Emitted are times of the
// engine in nanoseconds since 1970; 0 if the engine does not write them.
type tokenDelta struct {
	Content           string `json:"content"`
	Received, Emitted int64
}

// addTransit adds the transit time of a token that arrived now, computed from the
// times that the engine wrote into it. The first token also sets FirstTokenTransit.
func (r *Result) addTransit(token tokenDelta, started, now time.Time) {
	transit := now.Sub(time.Unix(0, token.Emitted))
	if r.Tokens == 0 {
		r.FirstTokenTransit = time.Unix(0, token.Received).Sub(started) + transit
	}
	r.Transits = append(r.Transits, transit)
}

// parseEvent returns the token of one event, which is empty if the event has no
// choices. For an invalid event or an error event it sets the outcome of the result
// and returns errStreamEnded.
func parseEvent(data string, result *Result) (tokenDelta, error) {
	var event struct {
		errorBody
		Choices []struct {
			Delta tokenDelta `json:"delta"`
		} `json:"choices"`
	}
	if err := json.Unmarshal([]byte(data), &event); err != nil {
		result.Outcome = Wrong
		result.Message = err.Error()
		return tokenDelta{}, errStreamEnded
	}
	if event.Error != nil {
		result.Outcome = Failed
		result.Code = event.Error.Code
		result.Message = event.Error.Message
		return tokenDelta{}, errStreamEnded
	}
	if len(event.Choices) == 0 {
		return tokenDelta{}, nil
	}
	return event.Choices[0].Delta, nil
}

// Plain describes a call of a plain service.
type Plain struct {
	Method string
	Path   string
	Body   string
	// Key is the idempotency key; empty sends none.
	Key string
	// ID is the request id; empty sends none.
	ID string
}

// Plain sends a call of a plain service. The outcome is Complete for an answer with
// a status below 500 that repeats the body of the call, as the stand-in's does.
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
		return readRefusal(resp, started)
	}
	result := Result{Status: resp.StatusCode, Outcome: Failed}
	data, err := io.ReadAll(resp.Body)
	result.Total = time.Since(started)
	if err != nil {
		result.Outcome = Broken
		return result
	}
	result.Body = string(data)
	if resp.StatusCode < http.StatusInternalServerError {
		result.Outcome = compareBody(data, plain.Body)
	}
	return result
}

func compareBody(data []byte, want string) string {
	var answer struct{ Body string }
	if json.Unmarshal(data, &answer) != nil || answer.Body != want {
		return Wrong
	}
	return Complete
}
