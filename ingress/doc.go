// Package ingress admits opaque requests. It finds the ingress by host and longest
// path prefix and the client account by its token, enforces the limits of the account,
// and passes the request to the Runner. The wire format of requests is left to an
// adapter, which calls Server.Run.
//
// A Server is safe for concurrent use.
package ingress
