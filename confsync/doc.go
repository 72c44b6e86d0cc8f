// Package confsync brings the configuration that operators publish into force
// on every daemon, within seconds and never backwards.
//
// A Publisher writes a set of objects to the object store and then makes it
// current by compare-and-set on one row of the table service. Of operators that
// publish on the same base, exactly one succeeds.
//
// A Syncer holds the configuration in force on one daemon. The first two
// daemons of each data centre read the row once a second, and pass a change on
// along a tree of the data centre's daemons. A daemon that learns from a peer's
// ping that it is behind pulls the change from that peer. The store is not
// needed for this: daemons that are cut off from it follow their peers.
package confsync
