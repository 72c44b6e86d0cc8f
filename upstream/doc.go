// Package upstream sends requests to targets over HTTP/1.1 connections that it
// holds itself.
//
// net/http.Transport repeats some requests on its own when a kept connection
// breaks. Here nothing is ever sent twice: each Send writes one request on one
// connection, and what happened to it is the caller's to judge. A connection is
// kept only after a whole answer to a whole request. It is dropped after a cut, a
// cancellation or an answer that belongs to another request, and when bytes have
// arrived while it was idle, since such bytes answer no request.
//
// A Pool is safe for concurrent use. An Exchange belongs to one goroutine.
package upstream
