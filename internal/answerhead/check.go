// Package answerhead checks the status line and the header of an answer for what net/http
// accepts, although it does not belong into an answer or hides how the body is framed.
package answerhead

import (
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// ErrMalformed is wrapped by the error of a head that is not one of an HTTP/1 answer.
var ErrMalformed = errors.New("malformed head of an answer")

// maxStatus is the largest status of HTTP.
const maxStatus = 599

// Check returns an error that wraps ErrMalformed unless the head of an answer is sound: HTTP/1, a
// status of HTTP, which no switch of protocols is, since none is asked for, and names of fields
// that are tokens. net/http keeps a field whose name ends with a blank, such as
// "Content-Length : 5", without heeding it.
func Check(answer *http.Response) error {
	switch {
	case answer.ProtoMajor != 1:
		return fmt.Errorf("%w: protocol %.20q", ErrMalformed, answer.Proto)
	case answer.StatusCode < http.StatusContinue || answer.StatusCode > maxStatus:
		return fmt.Errorf("%w: status %.20q", ErrMalformed, answer.Status)
	case answer.StatusCode == http.StatusSwitchingProtocols:
		return fmt.Errorf("%w: switch of protocols that was not asked for", ErrMalformed)
	}
	for name := range answer.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: field name %.40q", ErrMalformed, name)
		}
	}
	return nil
}

// Transport checks the head of every answer of another transport. An answer whose head is not
// sound becomes the error of the request.
type Transport struct {
	http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	answer, err := t.RoundTripper.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := Check(answer); err != nil {
		answer.Body.Close()
		return nil, err
	}
	return answer, nil
}
