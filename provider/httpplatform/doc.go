// Package httpplatform adapts the ports of package platform to the HTTP and JSON
// protocol that the stand-ins of the bench module speak.
//
//	POST /v1/rows:get     {"keys": [...]}                  -> {"rows": [...]}
//	POST /v1/rows:commit  {"writes": [...]}                -> 204, or 409 {"keys": [...]}
//	POST /v1/rows:list    {"prefix": "...", "limit": n}    -> {"rows": [...]}
//	PUT, GET /v1/objects/<name>                            -> 204; 200 with the content, or 404
//	POST /v1/weights:reserve {"version": "...", "bytes": n} -> {"waitMs": n}
//	GET  /v1/vms                                           -> {"vms": [...]}
//
// A commit whose connection breaks after the request was sent returns
// platform.ErrUnknown. A refused connection and the statuses 429 and 503 return
// platform.ErrUnavailable.
package httpplatform
