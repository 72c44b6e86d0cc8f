// Package confsync distributes the configuration that operators publish and
// puts it in force on every daemon within seconds. On a daemon, a lower
// generation never replaces a higher one.
//
// A Publisher writes a set of objects to the object store and then makes it
// current by compare-and-set on one row of the table service. Of operators that
// publish on the same base, exactly one succeeds.
//
// A Syncer holds the configuration in force on one daemon. Two daemons of each
// data centre, the first in rendezvous order, read the row once a second and
// push a change along a tree of the data centre's daemons. A daemon that sees
// in a peer's ping that it is behind pulls the change from that peer. Pushes and
// pulls do not need the store, so daemons that cannot reach it get changes from
// their peers.
package confsync
