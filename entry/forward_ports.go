package entry

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/marjoramflow/marjoramflow/object"
	"github.com/marjoramflow/marjoramflow/upstream"
)

// NoEvent says that no event of a stream was received yet.
const NoEvent = int64(-1)

// ForwardRequest is an opaque request of a caller: method, URI and body go to the
// target unchanged.
type ForwardRequest struct {
	// ID names the request; the caller chose it, and each of its attempts has its own.
	ID string
	// Caller is the authenticated account; the account is nil on public ingresses.
	Caller Caller
	// Rank orders requests, 0 first: by the tier of the account, then by that of the
	// ingress.
	Rank    int
	Ingress *object.Ingress
	Service *object.Service

	Method, URI, Host string
	// Header are the caller's end-to-end headers that the target may see.
	Header []upstream.Field
	Body   []byte

	// PromptTokens and OutputTokens are the size of a generation; both are 0 for
	// calls without tokens.
	PromptTokens, OutputTokens int
	Prefix                     []uint64
	Fingerprint                uint64
	Arrived                    time.Time
	// Deadline is the end of the caller's time or the ingress's timeout.
	Deadline time.Time
	// ResumeAfter is the last event that the caller already has, or NoEvent.
	ResumeAfter int64
	// CallerRetry says that the caller was sent away before, so that its objective has
	// passed.
	CallerRetry bool
}

// repeatable says whether the request may run more than once.
func (r *ForwardRequest) repeatable() bool {
	return r.Ingress.Repeat != object.RepeatNever
}

// account returns the name of the caller's account, "" without one.
func (r *ForwardRequest) account() string {
	if r.Caller.Account == nil {
		return ""
	}
	return r.Caller.Account.Name
}

// Dispatch is one attempt of a request on a target.
type Dispatch struct {
	Request *ForwardRequest
	Target  object.Target
	// Remaining is the time that the target has.
	Remaining time.Duration
	// ResumeAfter is the last event that the caller has, or NoEvent.
	ResumeAfter int64
}

// Reply is the head of a target's answer and the way to its body. Either Close or
// Discard is called once.
type Reply struct {
	Status int
	// Header are the end-to-end headers for the caller.
	Header http.Header
	// Length of the body in bytes, or -1 when it is not known.
	Length int64
	// OutcomeNotRun says that the target states that it did not run the request.
	NotRun bool
	Body   ReplyBody
}

// ReplyBody is the body of a reply. Read returns io.EOF only behind a whole body.
type ReplyBody interface {
	io.Reader
	SetReadDeadline(at time.Time)
	// Close ends the attempt; its connection may be used again after a whole body.
	Close()
}

// Trace tells how a request went, for its log line.
type Trace struct {
	// Targets are those that it was sent to, in order.
	Targets []string
	// QueueWait is the time until the first grant.
	QueueWait time.Duration
	// MaxGap is the longest pause between events.
	MaxGap time.Duration
	// Failures are the reasons of failed attempts, in order.
	Failures []string
}

// Forwarder sends an attempt to a target and reads the head of the answer. Its
// errors are *attempt.Error. When the context ends, the attempt is broken off.
type Forwarder interface {
	Dispatch(ctx context.Context, d *Dispatch, firstByteBy time.Time) (*Reply, error)
}

// ForwardSink takes the answer for the caller. An error means that the caller has
// gone.
type ForwardSink interface {
	// Start is called once, before the first Write.
	Start(status int, header http.Header, length int64) error
	// Write passes bytes on at once.
	Write(p []byte) error
}
