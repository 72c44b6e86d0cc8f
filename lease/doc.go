// Package lease gives one daemon at a time the right to act, together with a
// fencing number that increases with every new holder.
//
// A lease is one row of the table service. The clocks of two VMs are never compared:
// the holder counts its term from the moment before it sent the write that acquired
// or renewed the lease, and a waiter counts from the moment at which it first saw
// the row's present version. A holder's term therefore ends before any waiter may
// acquire the lease, whatever the clocks show.
//
// When the answer to a write is lost, the holder reads the row back and compares
// the token in it with the tokens that it has sent. Writes that must only happen
// while the lease is held go through Keeper.Commit, which puts them into one
// transaction with a renewal of the lease row.
package lease
