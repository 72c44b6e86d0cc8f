// Package httpplatform implements the weight store and the list of VMs over the HTTP
// and JSON protocol that the simulated platform of the bench module (bench/standin)
// serves. Package platform implements the table service and the object store.
//
//	POST /v1/weights:reserve {"version": "...", "bytes": n} -> {"waitMs": n}
//	GET  /v1/vms                                           -> {"vms": [...]}
//
// A failed dial and the statuses 429 and 503 are reported as provider.ErrUnavailable.
// A connection that fails after the request was sent and other statuses from 500 on
// are reported as provider.ErrOutcomeUnknown. VMs.List reports a response body that
// breaks off as the plain read error.
package httpplatform
