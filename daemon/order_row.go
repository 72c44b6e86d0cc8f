package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/marjoramflow/marjoramflow/catalog"
	"github.com/marjoramflow/marjoramflow/fault"
	"github.com/marjoramflow/marjoramflow/provider"
	"github.com/marjoramflow/marjoramflow/rollout"
)

// orderRow is the value of the row of a service's newest order. The first daemon that handles
// an order replaces the row; all others take the move from it.
type orderRow struct {
	// Move is the name of the order's move, and Revision the revision at which the order was read
	// last. It changes when the operator writes the order again after a restore of the store.
	Move     string `json:"move"`
	Revision uint64 `json:"revision"`
	To       string `json:"to"`
	// MaxDuration is that of the order. Rows of earlier releases do not have it.
	MaxDuration time.Duration `json:"maxDuration,omitempty"`
	Deadline    time.Time     `json:"deadline"`
	// Serving are the versions that served before the order, as far as they are known.
	Serving []string `json:"serving,omitempty"`
	// Withdrawn are the versions that earlier orders did not put into service, oldest first.
	Withdrawn []string `json:"withdrawn,omitempty"`
	// Replaced are the last orders before this one, oldest first.
	Replaced []replacedOrder `json:"replaced,omitempty"`
}

// replacedOrder identifies an order that was replaced by another one. A restored store may show it
// again.
type replacedOrder struct {
	// Number is that of the order's revision within its era.
	Number uint64 `json:"number"`
	To     string `json:"to"`
}

// maxReplacedOrders bounds the orders that are remembered as replaced. A copy of the store is some
// seconds old.
const maxReplacedOrders = 8

// isOf reports whether the row is that of an order. An order of another era that is alike is the
// same one: either the restored store still has it, or the operator has written it again.
func (r *orderRow) isOf(order catalog.Order) bool {
	if provider.Era(r.Revision) == provider.Era(order.Revision) {
		return r.Revision == order.Revision && r.To == order.To
	}
	return r.To == order.To && (r.MaxDuration == 0 || r.MaxDuration == order.MaxDuration)
}

// hasReplaced reports whether an order, which is not that of the row, was replaced by that of the
// row.
func (r *orderRow) hasReplaced(order catalog.Order) bool {
	if provider.Era(r.Revision) >= provider.Era(order.Revision) {
		return r.Revision > order.Revision
	}
	return slices.Contains(r.Replaced, replacedOrder{provider.Number(order.Revision), order.To})
}

// replacedNumbers returns the numbers of the replaced orders' revisions.
func (r *orderRow) replacedNumbers() []uint64 {
	var numbers []uint64
	for _, order := range r.Replaced {
		numbers = append(numbers, order.Number)
	}
	return numbers
}

// newerOrderRow returns the newer one of the row in the table and the row that this daemon knows,
// which a restored table may have lost. Either may be nil.
func newerOrderRow(stored, known *orderRow) *orderRow {
	switch {
	case known == nil:
		return stored
	case stored == nil:
		return known
	case known.isLike(stored):
		return originalOrderRow(stored, known)
	}
	isStored := func(o replacedOrder) bool { return o == replacedOrder{provider.Number(stored.Revision), stored.To} }
	if slices.ContainsFunc(known.Replaced, isStored) {
		return known
	}
	return stored
}

// isLike reports whether a row in the table is that of the order in the known row. A daemon that did
// not know the row may have recorded the order anew after a restore, even under another name.
func (r *orderRow) isLike(stored *orderRow) bool {
	alike := r.To == stored.To && r.MaxDuration == stored.MaxDuration
	return r.Move == stored.Move || alike && provider.Era(r.Revision) < provider.Era(stored.Revision)
}

// originalOrderRow returns the row of an order that was recorded first, which has the earlier
// deadline, with the newer revision. It returns stored itself if that is the result.
func originalOrderRow(stored, known *orderRow) *orderRow {
	original := *stored
	if known.Deadline.Before(stored.Deadline) {
		original = *known
	}
	original.Revision = max(stored.Revision, known.Revision)
	if original.Move == stored.Move && original.Revision == stored.Revision && original.Deadline.Equal(stored.Deadline) {
		return stored
	}
	return &original
}

// maxWithdrawn bounds the versions of a service that are remembered as withdrawn. The targets
// of older ones have ended.
const maxWithdrawn = 32

// errOrderReplaced means that a newer order has taken the place of an order.
var errOrderReplaced = errors.New("a newer order has been recorded")

// errOthersFirst means that an order is left to the other daemons to record for now.
var errOthersFirst = errors.New("other daemons may know the order")

// orderRowKey returns the key of the row of a service's newest order.
func orderRowKey(service string) string {
	return "orders/" + provider.KeySegment(service)
}

// follow returns the row of an order that replaces the one in last, which is nil if there is
// none. lastDone says that the last order was completed, and registered are the versions of the
// service's targets. A version whose move has not ended when it is replaced counts as withdrawn:
// nothing shows that it is sound.
func follow(last *orderRow, lastDone bool, order catalog.Order, deadline time.Time, registered []string) *orderRow {
	row := &orderRow{Move: order.MoveName(), Revision: order.Revision, To: order.To, MaxDuration: order.MaxDuration, Deadline: deadline}
	if last != nil {
		row.Replaced = append(slices.Clone(last.Replaced), replacedOrder{provider.Number(last.Revision), last.To})
		row.Replaced = row.Replaced[max(0, len(row.Replaced)-maxReplacedOrders):]
	}
	isNew := func(version string) bool { return version == order.To }
	switch {
	case last == nil:
		row.Serving = slices.DeleteFunc(slices.Clone(registered), isNew)
		return row
	case lastDone:
		row.Serving, row.Withdrawn = []string{last.To}, slices.Clone(last.Withdrawn)
	case slices.Contains(last.Serving, last.To):
		row.Serving, row.Withdrawn = last.Serving, slices.Clone(last.Withdrawn)
	default:
		row.Serving, row.Withdrawn = last.Serving, append(slices.Clone(last.Withdrawn), last.To)
	}
	row.Withdrawn = slices.DeleteFunc(row.Withdrawn, isNew)
	row.Withdrawn = row.Withdrawn[max(0, len(row.Withdrawn)-maxWithdrawn):]
	return row
}

// move returns the move of the row's order.
func (r *orderRow) move(order catalog.Order) catalog.Move {
	return catalog.Move{
		Order: order, Name: r.Move, Deadline: r.Deadline, Withdrawn: r.Withdrawn,
		Serves: slices.Contains(r.Serving, r.To), Replaced: r.replacedNumbers(),
	}
}

// agreeOrder records an order with a proposed deadline unless another daemon has recorded it,
// and returns the recorded row. It returns errOrderReplaced if the row is that of a newer order. A
// row that this daemon knows and a restored table has lost is written again.
func (h *orderHandler) agreeOrder(ctx context.Context, order catalog.Order, proposed time.Time) (*orderRow, error) {
	ctx, cancel := context.WithTimeout(ctx, tableCallTimeout)
	defer cancel()
	key := orderRowKey(order.Service)
	for {
		stored, version, err := h.readOrderRow(ctx, key)
		if err != nil {
			return nil, err
		}
		last := newerOrderRow(stored, h.knownRow(order.Service))
		replaced := last != nil && !last.isOf(order) && last.hasReplaced(order)
		switch {
		case last == nil || !last.isOf(order) && !replaced:
			if h.othersFirst() > 0 {
				return nil, fault.Wrap(errOthersFirst, "orders.record", key)
			}
			err = h.replaceOrderRow(ctx, key, last, version, order, proposed)
		case last == stored && (replaced || last.Revision >= order.Revision):
			if replaced {
				return nil, fault.Wrap(errOrderReplaced, "orders.record", key)
			}
			return last, nil
		default:
			err = h.rewriteOrderRow(ctx, key, last, version, order)
		}
		var conflict *provider.ConflictError
		if err != nil && !errors.As(err, &conflict) {
			return nil, fault.Wrap(err, "orders.record", key)
		}
	}
}

// othersFirst returns the time for which this daemon, if it has just started, leaves it to the others
// to record an order: one that is not recorded may be one whose row a restored table has lost, and
// which they write again.
func (h *orderHandler) othersFirst() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Until(h.runSince.Add(othersTime))
}

// rewriteOrderRow writes a row again that a restored table has lost, or that is of an order which
// the operator has written again.
func (h *orderHandler) rewriteOrderRow(ctx context.Context, key string, row *orderRow, version uint64, order catalog.Order) error {
	next := *row
	if row.isOf(order) {
		next.Revision = max(row.Revision, order.Revision)
	}
	value, err := json.Marshal(&next)
	if err != nil {
		return err
	}
	return h.table.Commit(ctx, provider.Write{Key: key, Value: value, IfVersion: version})
}

// readOrderRow returns the row of a service's newest order and its version, nil and 0 if there
// is none.
func (h *orderHandler) readOrderRow(ctx context.Context, key string) (*orderRow, uint64, error) {
	rows, err := h.table.Get(ctx, key)
	if err != nil {
		return nil, 0, fault.Wrap(err, "orders.read", key)
	}
	if rows[0].Version == 0 {
		return nil, 0, nil
	}
	var row orderRow
	if err := json.Unmarshal(rows[0].Value, &row); err != nil {
		return nil, 0, fault.Wrap(err, "orders.decode", key)
	}
	return &row, rows[0].Version, nil
}

// replaceOrderRow replaces the row of the last order by that of the given one. In the same
// transaction it ends the last order's move if that still goes on, so that the move cannot be
// done any more once its version counts as withdrawn.
func (h *orderHandler) replaceOrderRow(ctx context.Context, key string, last *orderRow, version uint64, order catalog.Order, deadline time.Time) error {
	lastDone := false
	var writes []provider.Write
	if last != nil {
		moveKey := rollout.RowKey(last.Move)
		rows, err := h.table.Get(ctx, moveKey)
		if err != nil {
			return err
		}
		if rows[0].Version != 0 {
			row, err := rollout.DecodeRow(rows[0].Value)
			if err != nil {
				return err
			}
			lastDone = row.Phase == rollout.Done && !row.Cut || h.isDone(last.Move)
			if !row.Phase.Final() {
				writes = append(writes, provider.Write{Key: moveKey, Value: row.Supersede().Encode(), IfVersion: rows[0].Version})
			}
		}
	}
	value, err := json.Marshal(follow(last, lastDone, order, deadline.Round(0).UTC(), h.registeredVersions(order.Service)))
	if err != nil {
		return err
	}
	writes = append(writes, provider.Write{Key: key, Value: value, IfVersion: version})
	return h.table.Commit(ctx, writes...)
}
