// Package soak runs daemons as processes against a store, targets and callers of its
// own, injects faults from a seed, and checks what callers and targets see:
//
//   - a request that must not run twice runs at most once;
//   - a refusal that says "not run" is true, also later;
//   - an answer is whole, signed, and that of its own request; a stream has each event
//     once and in order;
//   - targets get only requests that callers sent, unchanged and without the caller's key;
//   - a daemon that has served a manifest does not go back to an older one;
//   - a planned stop cuts no request;
//   - after the faults, every daemon serves by the newest manifest.
//
// Faults come in series and overlap: daemons that are killed, stopped, paused and
// restarted; connections to the store and to targets that are delayed, reset, cut one
// way or silenced by a loopback proxy; targets that crash; manifests that change;
// a store that is down or loses answers. Sessions between daemons are not proxied:
// they are hit by pauses and kills only.
package soak
