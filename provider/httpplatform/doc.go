// Package httpplatform adapts the weight store and the list of VMs to the HTTP and
// JSON protocol that the stand-ins of the bench module speak. The table service and
// the object store have their adapter in package platform.
//
//	POST /v1/weights:reserve {"version": "...", "bytes": n} -> {"waitMs": n}
//	GET  /v1/vms                                           -> {"vms": [...]}
//
// A call whose connection breaks after the request was sent returns
// provider.ErrUnknown. A refused connection and the statuses 429 and 503 return
// provider.ErrUnavailable.
package httpplatform
