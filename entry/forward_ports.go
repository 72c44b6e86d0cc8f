package entry

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/marjoramflow/marjoramflow/object"
	"github.com/marjoramflow/marjoramflow/residency"
	"github.com/marjoramflow/marjoramflow/upstream"
)

// NoEvent is the event number that means that no event of a stream was received yet.
const NoEvent = int64(-1)

// ForwardRequest is an opaque request of a caller: method, URI and body go to the
// target unchanged.
type ForwardRequest struct {
	// ID is the request id; the caller chooses one for each of its own attempts.
	ID string
	// Caller is the authenticated caller; its account may be nil on public ingresses.
	Caller Caller
	// Rank is the precedence of the request, 0 first: by the tier of the account, then by
	// that of the ingress.
	Rank    int
	Ingress *object.Ingress
	Service *object.Service

	Method, URI, Host string
	// Header holds the end-to-end headers of the caller that are sent to the target.
	Header []upstream.Field
	Body   []byte

	// PromptTokens is the size of the prompt and OutputTokens the expected size of the
	// answer; both are 0 for calls without tokens.
	PromptTokens, OutputTokens int
	Prefix                     []uint64
	// SharedParts are the ids of the parts of the prompt that other requests may hold too.
	SharedParts []uint64
	Fingerprint uint64
	Arrived     time.Time
	// Deadline is the earlier of the caller's deadline and the timeout of the ingress.
	Deadline time.Time
	// Regions returns the regions that may serve the request by the configuration in force;
	// nil means every region.
	Regions func() residency.Regions
	// ResumeAfter is the number of the last event that the caller already has, or
	// NoEvent.
	ResumeAfter int64
}

// repeatable reports whether the request may run more than once.
func (r *ForwardRequest) repeatable() bool {
	return r.Ingress.Repeat != object.RepeatNever
}

// regions returns the regions that may serve the request by the configuration in force.
func (r *ForwardRequest) regions() residency.Regions {
	if r.Regions == nil {
		return residency.Regions{}
	}
	return r.Regions()
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
	// Remaining is the time that the target has for the answer.
	Remaining time.Duration
	// Regions returns the regions that may serve the request by the configuration in force;
	// nil means every region.
	Regions func() residency.Regions
	// ResumeAfter is the number of the last event that the caller has, or NoEvent.
	ResumeAfter int64
}

// Reply is the head of a target's answer, with a reader for the body. The receiver must
// call Body.Close once.
type Reply struct {
	Status int
	// Header holds the end-to-end headers for the caller.
	Header http.Header
	// Length is the length of the body in bytes, or -1 when it is unknown.
	Length int64
	// Delimited is set when the answer states where it ends. Otherwise its end cannot be told
	// from that of a target that stopped.
	Delimited bool
	// NotRun is set when the target states that it did not run the request.
	NotRun bool
	// Leaving is set when the target states that it leaves, and Pause is the time for which it
	// wants no requests from this daemon; 0 means that it does not say.
	Leaving bool
	Pause   time.Duration
	Body    ReplyBody
}

// ReplyBody is the body of a reply. Read returns io.EOF only at the end of a complete body.
type ReplyBody interface {
	io.Reader
	SetReadDeadline(at time.Time)
	// Close ends the attempt. The connection may be reused if the body was read to its
	// end.
	Close()
}

// Trace collects the details of a request for its log line.
type Trace struct {
	// Targets lists the targets that were granted to the request, in order.
	Targets []string
	// QueueWait is the time from arrival to the first grant.
	QueueWait time.Duration
	// MaxGap is the longest pause between two events sent to the caller.
	MaxGap time.Duration
	// Failures lists the errors of failed attempts, in order.
	Failures []string
}

// Forwarder sends an attempt to a target and reads the head of the answer, waiting until
// firstByteBy. Its errors are *attempt.Error. The attempt is aborted when the context
// ends.
type Forwarder interface {
	Dispatch(ctx context.Context, d *Dispatch, firstByteBy time.Time) (*Reply, error)
}

// ForwardSink receives the answer for the caller. An error means that the caller has
// disconnected.
type ForwardSink interface {
	// Start is called once, before the first Write.
	Start(status int, header http.Header, length int64) error
	// Write sends bytes to the caller without buffering them.
	Write(p []byte) error
}
