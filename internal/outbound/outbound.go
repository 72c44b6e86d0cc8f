// Package outbound makes the HTTP transports toward targets, so that all adapters
// have the same bounds.
package outbound

import (
	"net"
	"net/http"
	"time"
)

const (
	dialTimeout = 2 * time.Second
	// idleTimeout closes pooled connections before a stateful middlebox on the way
	// forgets them and they go silent.
	idleTimeout = 15 * time.Second
	// maxIdlePerTarget bounds pooled connections to one target.
	maxIdlePerTarget = 64
)

// NewClient returns an HTTP client toward targets. With fresh, every request has
// a connection of its own. Redirects are not followed: the address behind them was
// not granted, and a request would run a second time there.
func NewClient(fresh bool) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			IdleConnTimeout:     idleTimeout,
			MaxIdleConnsPerHost: maxIdlePerTarget,
			DisableCompression:  true,
			DisableKeepAlives:   fresh,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
