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
	// Move is the name of the order's move, and Revision the order's revision.
	Move     string    `json:"move"`
	Revision uint64    `json:"revision"`
	To       string    `json:"to"`
	Deadline time.Time `json:"deadline"`
	// Serving are the versions that served before the order, as far as they are known.
	Serving []string `json:"serving,omitempty"`
	// Withdrawn are the versions that earlier orders did not put into service, oldest first.
	Withdrawn []string `json:"withdrawn,omitempty"`
}

// maxWithdrawn bounds the versions of a service that are remembered as withdrawn. The targets
// of older ones have ended.
const maxWithdrawn = 32

// errOrderReplaced means that a newer order has taken the place of an order.
var errOrderReplaced = errors.New("a newer order has been recorded")

// orderRowKey returns the key of the row of a service's newest order.
func orderRowKey(service string) string {
	return "orders/" + provider.KeySegment(service)
}

// follow returns the row of an order that replaces the one in last, which is nil if there is
// none. lastDone says that the last order was completed, and registered are the versions of the
// service's targets. A version whose move has not ended when it is replaced counts as withdrawn:
// nothing shows that it is sound.
func follow(last *orderRow, lastDone bool, order catalog.Order, deadline time.Time, registered []string) *orderRow {
	row := &orderRow{Move: order.MoveName(), Revision: order.Revision, To: order.To, Deadline: deadline}
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
	return catalog.Move{Order: order, Deadline: r.Deadline, Withdrawn: r.Withdrawn, Serves: slices.Contains(r.Serving, r.To)}
}

// agreeOrder records an order with a proposed deadline unless another daemon has recorded it,
// and returns the recorded row. It returns errOrderReplaced if the row is that of a newer order.
func (h *orderHandler) agreeOrder(ctx context.Context, order catalog.Order, proposed time.Time) (*orderRow, error) {
	ctx, cancel := context.WithTimeout(ctx, tableCallTimeout)
	defer cancel()
	key := orderRowKey(order.Service)
	for {
		last, version, err := h.readOrderRow(ctx, key)
		switch {
		case err != nil:
			return nil, err
		case last != nil && last.Move == order.MoveName():
			return last, nil
		case last != nil && last.Revision > order.Revision:
			return nil, fault.Wrap(errOrderReplaced, "orders.record", key)
		}
		err = h.replaceOrderRow(ctx, key, last, version, order, proposed)
		var conflict *provider.ConflictError
		if err != nil && !errors.As(err, &conflict) {
			return nil, fault.Wrap(err, "orders.record", key)
		}
	}
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
			lastDone = row.Phase == rollout.Done && !row.Cut
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
