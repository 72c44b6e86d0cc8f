package cluster

import (
	"context"
	"fmt"
	"strings"
)

// StartNaive starts count naive schedulers, each in front of all engines of the
// cluster, and returns their addresses once they accept connections. They take the
// place of the daemons.
func (c *Cluster) StartNaive(ctx context.Context, count int) ([]string, error) {
	var engines []string
	for _, e := range c.Engines {
		engines = append(engines, e.Address)
	}
	var addresses []string
	for i := range count {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		s := &Server{Address: address}
		s.Process = NewProcess(c.Dir, fmt.Sprintf("naive-%d", i+1), c.Programs.Bench, "naive", "--listen", address, "--engines", strings.Join(engines, ","))
		s.environment = c.Spec.DaemonEnvironment
		if err := s.Start(); err != nil {
			return nil, err
		}
		c.NaiveServers = append(c.NaiveServers, s)
		addresses = append(addresses, address)
	}
	return addresses, c.waitListening(ctx, addresses)
}
