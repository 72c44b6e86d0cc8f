// Package ingress takes opaque requests: it finds the ingress by host and longest
// prefix, the client account by its token, holds the account to its limits, and
// hands the request to the entry. How requests look on the wire is the business
// of an adapter, which calls Server.Run.
//
// A Server is safe for concurrent use.
package ingress
