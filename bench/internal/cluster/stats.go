package cluster

import (
	"context"
	"net/http"
	"time"

	"github.com/marjoramflow/marjoramflow/peer"
)

// MeshStats returns the daemon's totals of messages to and from other daemons.
func (d *Daemon) MeshStats(ctx context.Context) (peer.Stats, error) {
	var vars struct {
		Marjoram struct {
			Variables struct{ Mesh peer.Stats }
		}
	}
	err := sendJSONWithToken(ctx, http.MethodGet, "http://"+d.AdminAddress+"/debug/vars", OperatorToken, nil, &vars)
	return vars.Marjoram.Variables.Mesh, err
}

// TimePublication publishes the set and returns the time from the acceptance of the
// publication until every running daemon reported it as in force.
func (c *Cluster) TimePublication(ctx context.Context) (time.Duration, error) {
	admin, err := c.Admin()
	if err != nil {
		return 0, err
	}
	base, err := admin.Current(ctx)
	if err != nil {
		return 0, err
	}
	published, err := admin.Publish(ctx, base.Generation, c.Set)
	if err != nil {
		return 0, err
	}
	started := time.Now()
	err = c.WaitInForce(ctx, published.Generation, readyTimeout)
	return time.Since(started), err
}
