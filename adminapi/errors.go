package adminapi

import (
	"fmt"
	"net/http"

	"github.com/marjoramflow/marjoramflow/object"
)

// Code is the machine-readable kind of an error response.
type Code string

// Codes of error responses.
const (
	// CodeInvalid: the request is malformed.
	CodeInvalid Code = "invalid"
	// CodeUnauthorized: the operator's token is missing or wrong.
	CodeUnauthorized Code = "unauthorized"
	// CodeNotFound: the object, generation or path does not exist.
	CodeNotFound Code = "notFound"
	// CodeProblems: the set has problems; nothing was published.
	CodeProblems Code = "problems"
	// CodeConflict: another generation is current; nothing was published.
	CodeConflict Code = "conflict"
	// CodeUnavailable: the call had no effect; it may succeed on another daemon.
	CodeUnavailable Code = "unavailable"
	// CodeUnknown: the call may have had an effect.
	CodeUnknown Code = "unknown"
	// CodeInternal: the daemon failed in an unexpected way.
	CodeInternal Code = "internal"
)

// httpStatuses maps each code to its HTTP status.
var httpStatuses = map[Code]int{
	CodeInvalid:      http.StatusBadRequest,
	CodeUnauthorized: http.StatusUnauthorized,
	CodeNotFound:     http.StatusNotFound,
	CodeProblems:     http.StatusUnprocessableEntity,
	CodeConflict:     http.StatusConflict,
	CodeUnavailable:  http.StatusServiceUnavailable,
	CodeUnknown:      http.StatusGatewayTimeout,
	CodeInternal:     http.StatusInternalServerError,
}

// Error is an error response of the API.
type Error struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// Problems is set for CodeProblems.
	Problems object.Problems `json:"problems,omitempty"`
	// Conflict is set for CodeConflict.
	Conflict *Conflict `json:"conflict,omitempty"`
}

// Error returns the message, followed by the problems for CodeProblems.
func (e *Error) Error() string {
	if e.Code == CodeProblems {
		return e.Message + "\n" + (&object.ProblemsError{Problems: e.Problems}).Error()
	}
	return e.Message
}

// Conflict describes what was published since the base of a refused request.
type Conflict struct {
	Base uint64 `json:"base" yaml:"base"`
	// Current is the current generation.
	Current uint64 `json:"current" yaml:"current"`
	// Changes are the changes from the base to the current generation.
	Changes []object.Change `json:"changes" yaml:"changes"`
	// Unknown reports that a generation could not be read, so Changes may be
	// incomplete and Published may be missing.
	Unknown bool `json:"unknown,omitempty" yaml:"unknown,omitempty"`
	// Published is Base+1 if that generation has the content of the request,
	// which means that an earlier try of the request took effect; otherwise 0.
	Published uint64 `json:"published,omitempty" yaml:"published,omitempty"`
	// Digest is the digest of the requested content.
	Digest string `json:"digest" yaml:"digest"`
}

func newError(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...)}
}
