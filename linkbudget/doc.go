// Package linkbudget limits the bytes that requests send over the inter-region
// link, which is slow, shared and billed by volume.
//
// The link carries 30 Mbit/s each way for all traffic, of which half is for
// requests. Tier 0 may use all of that half, tier 1 60% and every lower tier 30%.
// A lower tier's bytes count against the caps of the tiers above it, and it may
// take them only while the rest of their buckets is full beyond its own share. A
// flood of tier 0 therefore stops the others.
//
// Each daemon holds an equal portion of the bucket, the rate divided by the live
// daemons of its region. The size of an answer is not known in advance, so Take
// asks for the expected bytes and Settle corrects them afterwards, which may
// leave a debt that later requests wait for.
//
// The package is pure. A Budget is safe for concurrent use.
package linkbudget
