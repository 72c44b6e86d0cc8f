package main

import (
	"errors"
	"fmt"
	"time"
)

func init() { scenarios["order-again"] = orderAgain }

// orderAgain moves a service to v2, back to v1, and to v2 again, whose new servers are bad.
func orderAgain(b *bench) (string, error) {
	const name = "godown"
	b.publish(plainManifest(name))
	serving, err := b.fleet.startInZones("v1", name, "v1", 0)
	if err != nil {
		return "", err
	}
	if err := b.startDaemons(); err != nil {
		return "", err
	}
	stop := b.clients.start(plainTraffic("key-wuny96-a", plainRate)...)
	time.Sleep(6 * time.Second)
	for i, version := range []string{"v2", "v1"} {
		started, err := b.fleet.startInZones(fmt.Sprintf("%s-%d", version, i), name, version, 0)
		if err != nil {
			return "", err
		}
		b.order(name, version, orderSeconds)
		if state := b.awaitState(name, version, (orderSeconds+3)*time.Second); state != "completed" {
			return "", errors.New("the order for " + version + " ended as " + state)
		}
		for _, s := range serving {
			s.stop()
		}
		serving = started
		time.Sleep(5 * time.Second)
	}
	if _, err := b.fleet.startInZones("v2-again", name, "v2", failures(b.trouble)); err != nil {
		return "", err
	}
	ordered := b.order(name, "v2", orderSeconds+1)
	limit := ordered.Add((orderSeconds + 1) * time.Second)
	state := b.awaitState(name, "v2", (orderSeconds+3)*time.Second)
	time.Sleep(5 * time.Second)
	stop()
	fmt.Printf("second order for v2: %s; answers since then: %v\n", state, b.clients.answers(ordered, time.Now()))
	return b.exposure(name, "v2", ordered, limit), nil
}
