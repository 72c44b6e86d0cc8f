// Package linkbudget limits the bytes that requests send over the inter-region
// link, which is slow, shared and billed by volume.
//
// The link carries 30 Mbit/s in each direction for all traffic, of which half is
// for requests. Tier 0 may use all of that half, tier 1 60% of it and every lower
// tier 30%. Each tier has a token bucket of bytes. A lower tier's bytes are also
// taken from the buckets of the tiers above it, and only while those hold more than
// the part reserved for the higher tier. Under full load of tier 0, the lower tiers
// therefore get nothing.
//
// Each daemon gets an equal portion of the rate: the rate divided by the number of
// live daemons of its region. The size of an answer is not known in advance, so
// TryCharge charges the expected bytes and CorrectCharge corrects them afterwards.
// This may leave a negative balance, which must refill before later requests are
// admitted.
//
// The package does no I/O and reads no clock. A Budget is safe for concurrent use.
package linkbudget
