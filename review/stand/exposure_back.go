package main

import (
	"fmt"
	"time"
)

func init() { scenarios["case4-order-back"] = orderBack }

// backDelay is the time after which the operator takes the order for the bad version back.
const backDelay = 3 * time.Second

// orderBack orders a move to a bad version, and a little later the move back to the version
// that serves.
func orderBack(b *bench) (string, error) {
	const name = "godown"
	b.publish(plainManifest(name))
	if _, err := b.fleet.startInZones("v1", name, "v1", 0); err != nil {
		return "", err
	}
	if err := b.startDaemons(); err != nil {
		return "", err
	}
	stop := b.clients.start(plainTraffic("key-wuny96-a", plainRate)...)
	time.Sleep(8 * time.Second)
	if _, err := b.fleet.startInZones("v2", name, "v2", failures(b.trouble)); err != nil {
		return "", err
	}
	ordered := b.order(name, "v2", orderSeconds)
	limit := ordered.Add(orderSeconds * time.Second)
	time.Sleep(backDelay)
	back := b.order(name, "v1", orderSeconds)
	state := b.awaitState(name, "v1", (orderSeconds+2)*time.Second)
	time.Sleep(3 * time.Second)
	stop()
	fmt.Printf("order for v1: %s; answers since then: %v\n", state, b.clients.answers(back, time.Now()))
	return b.exposure(name, "v2", ordered, limit), nil
}
