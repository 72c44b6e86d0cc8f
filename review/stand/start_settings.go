package main

import (
	"errors"
	"fmt"
	"time"
)

func init() { scenarios["start"] = startWithSettings }

const (
	// fractionSlack is a budgetSlack that is a fraction.
	fractionSlack = "51.5"
	// startTime is how long the case watches the daemons, and restartDelay the time until a
	// process that ended is started again.
	startTime    = 20 * time.Second
	restartDelay = 500 * time.Millisecond
	// maxOwnEnds is the number of ends of its process by which a machine counts, and minMachines
	// the number of such machines that break the rule: a tenth of six, and two at least.
	maxOwnEnds  = 3
	minMachines = 2
)

// startWithSettings starts the daemons, and again each time that one ends by itself.
func startWithSettings(b *bench) (string, error) {
	const name = "godown"
	b.publish(plainManifest(name))
	if _, err := b.fleet.startInZones("v1", name, "v1", 0); err != nil {
		return "", err
	}
	slack := wholeSlack
	if b.trouble {
		slack = fractionSlack
	}
	b.rec.line("the settings of all daemons have budgetSlack %s", slack)
	if err := b.launchDaemons(slack); err != nil {
		return "", err
	}
	stop := b.clients.start(plainTraffic("key-wuny96-a", plainRate)...)
	ends := b.restartFor(startTime)
	stop()
	machines, ready := 0, 0
	for _, d := range b.daemons {
		if ends[d] >= maxOwnEnds {
			machines++
		}
		if d.isReady() {
			ready++
		}
	}
	served := len(b.fleet.runsOf(name))
	b.rec.line("%d of %d daemons are ready; on %d machines the process ended by itself %d times or more; %d requests ran", ready, len(b.daemons), machines, maxOwnEnds, served)
	fmt.Printf("%d of %d daemons are ready; on %d machines the process ended by itself %d times or more; %d requests ran\n", ready, len(b.daemons), machines, maxOwnEnds, served)
	switch {
	case machines >= minMachines:
		return fmt.Sprintf("Fault: on %d of %d machines the process ended by itself %d times or more, and %d are ready", machines, len(b.daemons), maxOwnEnds, ready), nil
	case ready < len(b.daemons) || served == 0:
		return "", errors.New("the daemons do not serve")
	}
	return "", nil
}

// restartFor starts each daemon that has ended again, for a time, and returns how often each
// one ended. No signal was sent to any of them.
func (b *bench) restartFor(watched time.Duration) map[*daemon]int {
	ends := make(map[*daemon]int)
	for until := time.Now().Add(watched); time.Now().Before(until); time.Sleep(restartDelay) {
		for _, d := range b.daemons {
			select {
			case <-d.exited:
				ends[d]++
				_ = b.launch(d)
			default:
			}
		}
	}
	return ends
}
