// Package overflow decides when a request leaves its data centre: to which groups of which
// other data centres, in which order, for an immediate grant or into a queue, and how many
// requests per second may leave toward each.
//
// The inputs are the loads that owners report with their replies, the time of these replies,
// and the cost that operators state for each megabyte between data centres. A view (the last
// load of a group) counts less with its age; after viewLifetime it counts as unknown.
//
// A request that finds no free target in its data centre asks for an immediate grant where
// free slots are known, as long as the wait that it is spared exceeds the transit time and
// the cost of its bytes. Data centres without a usable view are asked now and then by such a
// request (a probe), so that loads become known without messages of their own. A request
// that waits moves to the queue of another data centre only if that saves clearly more time
// than it costs, and not while a good part of what its own data centre serves comes
// from elsewhere.
//
// The free slots of a data centre are divided among the entries that may see them. The share
// of an entry grows while its requests are granted and shrinks when they are refused, so
// entries that compete back off, and a single one soon uses all slots.
//
// The package does no I/O and reads no clock. A Planner is not safe for concurrent use.
package overflow
