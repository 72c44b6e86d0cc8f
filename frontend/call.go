package frontend

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/labstack/echo/v4"

	"github.com/marjoramflow/marjoramflow/entry"
	"github.com/marjoramflow/marjoramflow/object"
	"github.com/marjoramflow/marjoramflow/plainservice"
	"github.com/marjoramflow/marjoramflow/prefix"
)

const (
	// charactersPerToken estimates prompt tokens before the engine counts them.
	charactersPerToken = 4
	// defaultMaxTokens applies when the caller states no max_tokens.
	defaultMaxTokens = 128
	// maxMaxTokens bounds a caller's max_tokens.
	maxMaxTokens = 128 << 10
	// outcomeOK is the outcome of a request that was answered completely.
	outcomeOK = "ok"
)

// PlainAnswer is the complete answer of a plain service.
type PlainAnswer = plainservice.Answer

// call is one call of an authenticated caller.
type call struct {
	server  *Server
	echo    echo.Context
	id      string
	index   *object.Index
	caller  entry.Caller
	body    []byte
	started time.Time
}

// chatBody holds the fields of a chat completion request that the scheduler reads.
type chatBody struct {
	Model    string `json:"model"`
	Messages []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
	MaxTokens           int  `json:"max_tokens"`
	MaxCompletionTokens int  `json:"max_completion_tokens"`
	Stream              bool `json:"stream"`
	// maxTokens is the bound that applies: the caller's, or the default.
	maxTokens int
}

// runChat runs a call to a model service.
func (c *call) runChat(matches []object.RouteMatch) error {
	request, parsed, err := c.chatRequest(matches)
	if err != nil {
		return err
	}
	if err := c.checkRateLimit(request.Service.Name, request.PromptTokens+request.OutputTokens); err != nil {
		return err
	}
	answer := newChatAnswer(c, request.Service.Name, parsed)
	err = c.server.Runner.Chat(c.echo.Request().Context(), request, answer)
	c.recordResult(request.Service.Name, err, answer.firstToken, answer.tokens)
	if err == nil {
		c.server.OutputPredictor.ObserveOutput(c.caller.Account.Name, request.Service.Name, parsed.maxTokens, answer.tokens)
	}
	return answer.finish(err)
}

// chatRequest parses the body and builds the request.
func (c *call) chatRequest(matches []object.RouteMatch) (*entry.ChatRequest, *chatBody, error) {
	var fields map[string]json.RawMessage
	var parsed chatBody
	if err := json.Unmarshal(c.body, &fields); err != nil {
		return nil, nil, entry.Refuse(http.StatusBadRequest, entry.CodeBadRequest, "the body is no JSON object")
	}
	if err := json.Unmarshal(c.body, &parsed); err != nil {
		return nil, nil, entry.Refuse(http.StatusBadRequest, entry.CodeBadRequest, "the body is no chat completion")
	}
	if len(parsed.Messages) == 0 {
		return nil, nil, entry.Refuse(http.StatusBadRequest, entry.CodeBadRequest, "messages is empty")
	}
	maxTokens, err := parsed.effectiveMaxTokens()
	if err != nil {
		return nil, nil, err
	}
	parsed.maxTokens = maxTokens
	match, err := c.modelService(matches, parsed.Model)
	if err != nil {
		return nil, nil, err
	}
	account := c.caller.Account.Name
	prompt := parsed.promptText()
	request := &entry.ChatRequest{
		ID:           c.id,
		Caller:       c.caller,
		Service:      match.Service,
		Model:        c.modelName,
		Route:        match.Route.Name,
		Body:         fields,
		Fingerprint:  c.fingerprint(match.Service.Name, prompt),
		Prefix:       prefix.HashBlocks(prompt),
		PromptTokens: max(1, len(prompt)/charactersPerToken),
		OutputTokens: c.server.OutputPredictor.OutputTokens(account, match.Service.Name, maxTokens),
		Arrived:      c.started,
		Deadline:     c.started.Add(c.timeout(match.Route)),
	}
	return request, &parsed, nil
}

// effectiveMaxTokens returns the bound on the length of the answer in tokens: the larger of
// the caller's two fields, or the default.
func (b *chatBody) effectiveMaxTokens() (int, error) {
	limit := max(b.MaxTokens, b.MaxCompletionTokens)
	if b.MaxTokens < 0 || b.MaxCompletionTokens < 0 || limit > maxMaxTokens {
		return 0, entry.Refuse(http.StatusBadRequest, entry.CodeBadRequest, "max_tokens is out of range")
	}
	if limit == 0 {
		return defaultMaxTokens, nil
	}
	return limit, nil
}

// promptText joins the messages to one text, from which the number of prompt tokens is
// estimated and the prefix and fingerprint are hashed.
func (b *chatBody) promptText() string {
	var text strings.Builder
	for _, m := range b.Messages {
		text.WriteString(m.Role)
		text.WriteString(": ")
		text.WriteString(messageText(m.Content))
		text.WriteString("\n")
	}
	return text.String()
}

// messageText returns the text of a message. Content that is not a JSON string, such as a
// list of parts, is returned as its JSON.
func messageText(raw json.RawMessage) string {
	var s string
	if json.Unmarshal(raw, &s) == nil {
		return s
	}
	return string(raw)
}

// modelService returns the route of the service that serves the model, and checks that the
// caller may call it.
func (c *call) modelService(matches []object.RouteMatch, model string) (object.RouteMatch, error) {
	service := c.index.ModelService(model)
	if service == nil {
		return object.RouteMatch{}, entry.Refuse(http.StatusNotFound, entry.CodeNotFound, "no service has this model")
	}
	for _, m := range matches {
		if m.Service.Name == service.Name {
			return m, c.checkPermission(service.Name)
		}
	}
	return object.RouteMatch{}, entry.Refuse(http.StatusNotFound, entry.CodeNotFound, "the model has no such route")
}

func (c *call) checkPermission(service string) error {
	if c.index.Permits(c.caller.Account.Name, service) {
		return nil
	}
	return entry.Refuse(http.StatusForbidden, entry.CodeForbidden, "the client account may not call this service")
}

// modelName returns the name that the engine uses for the model of a version.
func (c *call) modelName(version string) string {
	if v := c.index.Version(version); v != nil && v.Model != "" {
		return v.Model
	}
	return version
}

// fingerprint returns a hash of the content of a request. The request id is not part of it,
// so that a request that the caller sends again has the same fingerprint.
func (c *call) fingerprint(service, content string) uint64 {
	return xxhash.Sum64String(service + "\x00" + content)
}

// timeout returns the timeout of the route, or the deadline of the caller's tier if the route
// has none.
func (c *call) timeout(route *object.Route) time.Duration {
	if route.Timeout > 0 {
		return route.Timeout
	}
	return c.caller.Tier.Deadline
}

// checkRateLimit returns a refusal, which it also records, when the client account has
// exceeded its rate limits.
func (c *call) checkRateLimit(service string, tokens int) error {
	wait := c.server.Limiter.Allow(c.caller.Account.Name, tokens)
	if wait <= 0 {
		return nil
	}
	refusal := entry.Refuse(http.StatusTooManyRequests, entry.CodeRateLimited, "the client account is over its limit")
	refusal.RetryAfter = wait
	c.recordResult(service, refusal, 0, 0)
	return refusal
}

// runPlain runs a call to a plain service.
func (c *call) runPlain(match object.RouteMatch) error {
	if err := c.checkPermission(match.Service.Name); err != nil {
		return err
	}
	if err := c.checkRateLimit(match.Service.Name, 0); err != nil {
		return err
	}
	r := c.echo.Request()
	request := &entry.PlainRequest{
		ID:          c.id,
		Caller:      c.caller,
		Service:     match.Service,
		Route:       match.Route,
		Path:        r.URL.RequestURI(),
		Header:      r.Header,
		Body:        c.body,
		Key:         r.Header.Get("Idempotency-Key"),
		Fingerprint: c.fingerprint(match.Service.Name, r.URL.RequestURI()+"\x00"+string(c.body)),
		Arrived:     c.started,
		Deadline:    c.started.Add(c.timeout(match.Route)),
	}
	// A non-idempotent call continues even when its caller has disconnected, so that its
	// outcome is recorded under its idempotency key.
	ctx := r.Context()
	if !match.Route.Idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	answer, err := c.server.Runner.Plain(ctx, request)
	c.recordResult(match.Service.Name, err, 0, 0)
	if err != nil {
		return err
	}
	return c.writePlain(answer)
}

func (c *call) writePlain(answer *PlainAnswer) error {
	header := c.echo.Response().Header()
	for name, values := range answer.Header {
		if name == "Connection" || name == "Content-Length" || name == "Transfer-Encoding" || name == RequestIDHeader {
			continue
		}
		header[name] = values
	}
	c.echo.Response().WriteHeader(answer.Status)
	// A write error means that the caller has disconnected; there is nobody to report it to.
	_, _ = c.echo.Response().Write(answer.Body)
	return nil
}

func (c *call) recordResult(service string, err error, firstToken time.Duration, tokens int) {
	outcome := outcomeOK
	if err != nil {
		outcome = string(entry.AsRefusal(err).Code)
	}
	c.server.Recorder.RecordRequest(Measurement{
		Tier:       c.caller.Tier.Name,
		Account:    c.caller.Account.Name,
		Service:    service,
		Outcome:    outcome,
		FirstToken: firstToken,
		Total:      time.Since(c.started),
		Tokens:     tokens,
	})
}

// readAll reads a body. When its length is known, up to maxPreallocated bytes are allocated
// at once.
func readAll(r io.Reader, length int64) ([]byte, error) {
	const maxPreallocated = 64 << 10
	var b bytes.Buffer
	if length > 0 {
		b.Grow(int(min(length, maxPreallocated)) + bytes.MinRead)
	}
	_, err := b.ReadFrom(r)
	return b.Bytes(), err
}
