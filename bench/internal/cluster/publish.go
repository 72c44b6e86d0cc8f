package cluster

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/marjoramflow/marjoramflow/adminapi"
	"github.com/marjoramflow/marjoramflow/settings"
)

// inForceTimeout is the time within which, by design, a publication is in force on
// all reachable daemons.
const inForceTimeout = 4 * time.Second

// Admin returns a client of the administration API of the running daemons.
func (c *Cluster) Admin() (*adminapi.Client, error) {
	var servers []string
	for _, d := range c.Daemons {
		if d.Running() {
			servers = append(servers, "http://"+d.AdminAddress)
		}
	}
	if len(servers) == 0 {
		return nil, errors.New("no daemon is running")
	}
	return adminapi.NewClient(adminapi.ClientOptions{Servers: servers, Token: settings.NewSecret(OperatorToken)})
}

// Publish publishes the cluster's set and waits until it is in force on all running
// daemons. It returns the generation, also if that wait fails.
func (c *Cluster) Publish(ctx context.Context) (uint64, error) {
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
	return published.Generation, c.WaitInForce(ctx, published.Generation, inForceTimeout)
}

// WaitInForce waits until the generation or a later one is in force on every running
// daemon. The timeout applies to each daemon in turn.
func (c *Cluster) WaitInForce(ctx context.Context, generation uint64, timeout time.Duration) error {
	for _, d := range c.Daemons {
		if !d.Running() {
			continue
		}
		if err := d.waitGeneration(ctx, generation, timeout); err != nil {
			return err
		}
	}
	return nil
}

// AdminClient returns a client of the administration API of this daemon alone.
func (d *Daemon) AdminClient() (*adminapi.Client, error) {
	return adminapi.NewClient(adminapi.ClientOptions{Servers: []string{"http://" + d.AdminAddress}, Token: settings.NewSecret(OperatorToken)})
}

func (d *Daemon) waitGeneration(ctx context.Context, generation uint64, timeout time.Duration) error {
	admin, err := d.AdminClient()
	if err != nil {
		return err
	}
	return WaitUntil(ctx, timeout, func(ctx context.Context) error {
		config, err := admin.Current(ctx)
		if err != nil {
			return err
		}
		if config.Generation < generation {
			return fmt.Errorf("daemon %s has generation %d, want %d", d.Name, config.Generation, generation)
		}
		return nil
	})
}
