// Package adminapi is the administration API: JSON over HTTP, used by
// marjoramctl and open to other tools. Server answers on every daemon, so an
// operator may use any of them; Client is the typed client.
//
// Every request carries the bearer token of an operator, except /healthz and
// /readyz. A configuration is published with the generation that it was made
// from; when another one is in force by then, the answer is a conflict with the
// difference, and nothing changes.
//
//	GET  /healthz                       the process runs
//	GET  /readyz                        the daemon serves requests
//	GET  /debug/vars                    metrics
//	GET  /v1/set?generation=N           a generation, without N the one in force
//	GET  /v1/objects/KIND               objects in force
//	GET  /v1/objects/KIND/NAME          one object
//	POST /v1/check                      problems of a set
//	POST /v1/diff                       changes from the set in force to a set
//	GET  /v1/diff?from=N&to=M           changes between generations
//	POST /v1/publish                    publish a set
//	POST /v1/revert                     publish the content of an older generation
//	POST /v1/targets/NAME/drain         stop new work for a target
//	POST /v1/targets/NAME/undrain       permit it again
//	GET  /v1/status                     generations of all daemons
//	GET  /v1/moves, /v1/targets, /v1/tiers, /v1/accounts   state at run time
//
// The mark that drain sets outlives later publications; only undrain clears it.
package adminapi
