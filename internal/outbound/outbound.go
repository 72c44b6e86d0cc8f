// Package outbound creates the HTTP clients for calls to targets, so that all adapters
// use the same limits.
package outbound

import (
	"net"
	"net/http"
	"time"

	"github.com/marjoramflow/marjoramflow/internal/answerhead"
	"github.com/marjoramflow/marjoramflow/internal/resetconn"
)

const (
	dialTimeout = 2 * time.Second
	// idleTimeout closes idle pooled connections before a stateful middlebox (NAT,
	// firewall) drops their state, after which packets on them get no answer.
	idleTimeout = 15 * time.Second
	// maxIdlePerTarget bounds the idle pooled connections to one target.
	maxIdlePerTarget = 64
	// maxHeaderBytes bounds the status line and the headers of an answer, which a faulty
	// target may send without end.
	maxHeaderBytes = 64 << 10
)

// NewDialer returns a dialer for connections to targets.
func NewDialer() *resetconn.Dialer {
	return &resetconn.Dialer{Dialer: net.Dialer{Timeout: dialTimeout}}
}

// NewClient returns an HTTP client for calls to targets. With freshConnections, every
// request uses a new connection. Redirects are not followed: no slot was granted at the
// address that they name, and the request would run a second time there.
func NewClient(freshConnections bool) *http.Client {
	return &http.Client{
		Transport: answerhead.Transport{RoundTripper: &http.Transport{
			DialContext:         NewDialer().DialContext,
			IdleConnTimeout:     idleTimeout,
			MaxIdleConnsPerHost: maxIdlePerTarget,
			DisableCompression:  true,
			DisableKeepAlives:   freshConnections,

			MaxResponseHeaderBytes: maxHeaderBytes,
		}},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
