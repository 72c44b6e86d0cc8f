package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

func init() { scenarios["manifest"] = manifestRefused }

// manifestRefused publishes a manifest that adds a tenant and takes an API key away from
// another one. With trouble, the new tenant states no priority.
func manifestRefused(b *bench) (string, error) {
	const (
		name       = "godown"
		droppedKey = "key-wuny96-b"
		newKey     = "key-lebo691-a"
	)
	m := plainManifest(name)
	b.publish(m)
	if _, err := b.fleet.startInZones("v1", name, "v1", 0); err != nil {
		return "", err
	}
	if err := b.startDaemons(); err != nil {
		return "", err
	}
	stop := b.clients.start(append(plainTraffic(droppedKey, 20), plainTraffic("key-hule930-a", 40)...)...)
	time.Sleep(5 * time.Second)
	added := tenant{Name: "lebo691", APIKeys: []string{newKey}, Unit: "tokens", PlainTokens: 200, RatePerS: 250000, Burst: 250000}
	if !b.trouble {
		added.Priority = rank(2)
	}
	m.Version = 8
	m.Tenants[0].APIKeys = m.Tenants[0].APIKeys[:1]
	m.Tenants = append(m.Tenants, added)
	published := b.publish(m)
	stopNew := b.clients.start(plainTraffic(newKey, 20)...)
	time.Sleep(15 * time.Second)
	stopNew()
	stop()

	inForce := published.Add(configApply)
	served, dropped := 0, 0
	for _, r := range b.fleet.runsOf(name) {
		if sent, found := b.clients.get(r.attempt); found {
			served++
			if sent.key == droppedKey && sent.at.After(inForce) {
				dropped++
			}
		}
	}
	refused := b.clients.count(newKey, http.StatusUnauthorized, inForce)
	b.rec.line("%d runs; sent over %s after the acknowledgement: %d runs with the dropped key, %d answers 401 to the new key", served, configApply, dropped, refused)
	fmt.Printf("%d runs; %d with the dropped key; %d answers 401 to the new key\n", served, dropped, refused)
	switch {
	case served == 0:
		return "", errors.New("no request was served")
	case dropped+refused > 0:
		return fmt.Sprintf("CONFIG: sent over %s after the acknowledgement, %d requests ran with a dropped key and %d were refused with 401 though their key is there", configApply, dropped, refused), nil
	}
	return "", nil
}
