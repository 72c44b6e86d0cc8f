// Package frontend is the HTTP interface for callers: OpenAI-style chat
// completions with server-sent events for model services, and ordinary HTTP for
// plain services. The service of a call is determined by its method and path, and
// for model services by the "model" field.
//
// Every refusal has a JSON body and the header X-Marjoram-Outcome, which is
// "not_run" when the request certainly did not run and "unknown" otherwise.
package frontend
