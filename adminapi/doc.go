// Package adminapi implements the administration API: JSON over HTTP, used by
// marjoramctl and open to other tools. Every daemon runs a Server, so an
// operator may call any of them. Client is the typed client.
//
// Every request carries the bearer token of an operator, except /healthz and
// /readyz. A request to publish a configuration names its base, the generation
// that it was made from. When another generation is current by then, the
// response is a conflict that lists the changes since the base, and nothing is
// published.
//
//	GET  /healthz                       the process is alive
//	GET  /readyz                        the daemon is ready to serve requests
//	GET  /debug/vars                    metrics
//	GET  /v1/version                    name and version of the daemon
//	GET  /v1/set?generation=N           a generation; without N, the one in force
//	GET  /v1/objects/KIND               objects in force
//	GET  /v1/objects/KIND/NAME          one object
//	POST /v1/check                      problems of a set
//	POST /v1/diff                       changes from the set in force to a set
//	GET  /v1/diff?from=N&to=M           changes between generations
//	POST /v1/publish                    publish a set
//	POST /v1/revert                     publish the content of an older generation
//	POST /v1/targets/NAME/drain         stop sending new requests to a target
//	POST /v1/targets/NAME/undrain       send new requests to it again
//	GET  /v1/status                     generation in force on each daemon
//	GET  /v1/moves, /v1/targets, /v1/tiers, /v1/accounts   runtime state
//
// The drain mark of a target survives later publications. Only undrain clears
// it.
package adminapi
