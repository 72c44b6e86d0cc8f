// Package upstream sends requests to targets over its own pool of HTTP/1.1
// connections.
//
// net/http.Transport retries some requests by itself when a reused connection
// breaks. This package never sends a request twice: each Send writes one request on
// one connection, and the caller decides about a retry. A connection returns to the
// pool only after the whole request was sent and the whole answer was read. It is
// closed after a truncated answer, a cancellation or an answer that belongs to
// another request, and also when bytes arrived while it was idle, since such bytes
// are not the answer to any request.
//
// A Pool is safe for concurrent use. An Exchange belongs to one goroutine.
package upstream
