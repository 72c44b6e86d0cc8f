package main

import (
	"errors"
	"fmt"
	"time"
)

func init() { scenarios["order-name"] = orderName }

const (
	depotService = "depot-records-application"
	oldCommit    = "1f0c6a2be1f5d3c8a7b9e0d4c3b2a1908f7e6d5c"
	newCommit    = "9e3b7d10c42f5a6881d0b7e3f4a59c6d2b1e0f78"
)

// orderName orders a move to a version and then takes an API key away from a tenant.
func orderName(b *bench) (string, error) {
	m := plainManifest(depotService)
	b.publish(m)
	_, err := b.fleet.startInZones("old", depotService, oldCommit, 0)
	if err != nil {
		return "", err
	}
	if err := b.startDaemons(); err != nil {
		return "", err
	}
	stop := b.clients.start(append(plainTraffic("key-wuny96-b", 20), plainTraffic("key-hule930-a", 40)...)...)
	time.Sleep(5 * time.Second)
	if b.trouble {
		if _, err := b.fleet.startInZones("new", depotService, newCommit, 0); err != nil {
			return "", err
		}
		b.order(depotService, newCommit, 12)
		b.awaitState(depotService, newCommit, 14*time.Second)
	} else {
		time.Sleep(14 * time.Second)
	}
	m.Version = 8
	m.Tenants[0].APIKeys = m.Tenants[0].APIKeys[:1]
	revoked := b.publish(m)
	time.Sleep(12 * time.Second)
	stop()

	served, dropped := 0, 0
	for _, r := range b.fleet.runsOf(depotService) {
		sent, found := b.clients.get(r.attempt)
		if !found {
			continue
		}
		served++
		if sent.key == "key-wuny96-b" && sent.at.After(revoked.Add(configApply)) {
			dropped++
		}
	}
	b.rec.line("%d runs; %d with the dropped key, sent over %s after the acknowledgement", served, dropped, configApply)
	fmt.Printf("%d runs; %d with the dropped key\n", served, dropped)
	if served == 0 {
		return "", errors.New("no request was served")
	}
	if dropped > 0 {
		return fmt.Sprintf("CONFIG: %d requests ran with a dropped key, sent over %s after the acknowledgement", dropped, configApply), nil
	}
	return "", nil
}
