package main

import (
	"encoding/json"
	"fmt"
	"syscall"
	"time"
)

// oddEntries plays a final fault that kills all processes while another writer has left entries in
// the table of servers. They name a service that no manifest has, at the addresses of sound
// servers, which go on with their own entries. After the fault, the service has to be served again.
func oddEntries(r *run) (bool, error) {
	var e executions
	s := newStore(r)
	putManifest(s, newManifest(10, "ledger"))
	if err := startServers(s, &e, "ledger", "v1", 9); err != nil {
		return false, err
	}
	if err := startDaemons(r, s); err != nil {
		return false, err
	}
	t := startTraffic(r, &e)
	defer t.stop()
	time.Sleep(2 * time.Second)
	from := time.Now()
	time.Sleep(judgeTime)
	before := t.served(from, time.Now())
	r.say("before the final fault: %s", before)
	r.say("final fault: all processes are killed")
	for _, d := range r.daemons {
		d.signal(syscall.SIGKILL)
	}
	if r.trouble {
		putOddEntries(s)
		r.say("another writer has written %d entries of the service odd-app", len(s.servers))
	}
	back, err := r.restartDaemons()
	if err != nil {
		return false, err
	}
	time.Sleep(recovery)
	from = time.Now()
	time.Sleep(judgeTime)
	after := t.served(from, time.Now())
	r.say("from %v after the restart: %s", from.Sub(back).Round(time.Second), after)
	r.say("store: %s", s.stats())
	return before.share() >= 0.25 && after.share() < 0.25, nil
}

// putOddEntries writes an entry of an unknown service at the address of each server.
func putOddEntries(s *store) {
	for i, v := range s.servers {
		value, _ := json.Marshal(map[string]any{
			"service": "odd-app", "address": v.address, "zone": v.zone, "version": "1", "slots": 4,
			"state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": time.Now().UnixMilli(),
		})
		s.put(row{Table: "servers", Key: fmt.Sprintf("odd-%02d", i), Value: value})
	}
}
