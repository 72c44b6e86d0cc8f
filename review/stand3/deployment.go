package main

import (
	"encoding/json"
	"fmt"
	"time"
)

// host is the host of all routes.
const host = "depot.example"

// Figures of a drill of the store.
const (
	// copyAge is how much older the copy is from which the store comes back.
	copyAge = 5 * time.Second
	// awayTime is how long the store is away.
	awayTime = time.Second
)

// machines are the daemons of a case: the small deployment fkc-scaling with one of its spare
// machines, and the one-way delay of each zone to the store.
var machines = []struct {
	zone  string
	count int
	delay time.Duration
}{
	{"erie-a", 4, 100 * time.Microsecond},
	{"erie-b", 2, 900 * time.Microsecond},
	{"superior-a", 2, 12 * time.Millisecond},
}

// startDaemons starts the daemons and waits until they are ready.
func startDaemons(r *run, s *store) error {
	count := 0
	for _, m := range machines {
		count += m.count
	}
	ips, err := freeIPs(count)
	if err != nil {
		return err
	}
	for _, m := range machines {
		address, err := s.listen(m.delay)
		if err != nil {
			return err
		}
		for i := range m.count {
			ports, err := freePorts(ips[0], 3)
			if err != nil {
				return err
			}
			if _, err := r.addDaemon(fmt.Sprintf("front-%s-%d", m.zone, i+1), m.zone, ips[0], address, [3]int(ports)); err != nil {
				return err
			}
			ips = ips[1:]
		}
	}
	if err := r.awaitReady(15 * time.Second); err != nil {
		return err
	}
	r.say("%d daemons are ready", len(r.daemons))
	return nil
}

// startServers starts servers of a version of a service in all zones. Their heartbeats are spread
// evenly.
func startServers(s *store, e *executions, service, version string, count int) error {
	for i := range count {
		v, err := startServer(s, e, serverConfig{
			id: fmt.Sprintf("i-%s-%s-%02d", service, version, i), service: service, version: version,
			zone: machines[i%len(machines)].zone, work: 20 * time.Millisecond,
		})
		if err != nil {
			return err
		}
		s.servers = append(s.servers, v)
		time.Sleep(heartbeat / 21)
	}
	return nil
}

// putManifest writes a manifest of the operator and returns whether the store acknowledged it.
func putManifest(s *store, manifest map[string]any) bool {
	value, _ := json.Marshal(manifest)
	_, acknowledged := s.put(row{Table: "op", Key: "config", Value: value})
	return acknowledged
}

// drill takes the store away for a moment and brings it back from a copy.
func drill(r *run, s *store) {
	s.goAway()
	r.say("the store is away for %v", awayTime)
	time.Sleep(awayTime)
	before, after := s.comeBack(copyAge)
	r.say("the store is back from a copy; its version was %d and is %d", before, after)
	time.AfterFunc(3*heartbeat, s.expireServers)
}
