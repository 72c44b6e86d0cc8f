// Package compare runs the production scheduler and alternatives on the same
// recorded input against model engines in virtual time, and reports goodput by tier
// and wasted prefill. It also counts violations of promise R2: no request is shed
// while lower-tier work runs that could be preempted for it in time. Runs with the
// same Setup, Variant and rate give the same Result.
//
// The engine model has continuous batching, chunked prefill, a KV cache limit, a
// prefix cache and a speed per hardware generation. It serves to compare scheduling
// decisions for one or a few target groups; it does not model networks or failures
// of daemons.
package compare
