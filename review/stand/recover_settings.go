package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

func init() { scenarios["recover"] = recoverWithSettings }

const (
	// fractionSlack is a budgetSlack that is a fraction.
	fractionSlack = "51.5"
	// recoveryTime is recoveryS, and restartDelay the time until a process that ended is
	// started again.
	recoveryTime = 12 * time.Second
	restartDelay = 500 * time.Millisecond
	// minRecoveredShare is the share of the requests that must be served after it.
	minRecoveredShare = 0.25
)

// recoverWithSettings changes the settings files, kills all daemons and starts them again. The
// platform restarts each process that ends.
func recoverWithSettings(b *bench) (string, error) {
	const name = "godown"
	b.publish(plainManifest(name))
	if _, err := b.fleet.startInZones("v1", name, "v1", 0); err != nil {
		return "", err
	}
	if err := b.startDaemons(); err != nil {
		return "", err
	}
	stop := b.clients.start(plainTraffic("key-wuny96-a", plainRate)...)
	defer func() { stop() }()
	from := time.Now()
	time.Sleep(5 * time.Second)
	before := share(b.clients.answers(from, time.Now().Add(-time.Second)))
	slack := wholeSlack
	if b.trouble {
		slack = fractionSlack
	}
	for _, d := range b.daemons {
		if err := b.writeSettings(d, slack); err != nil {
			return "", err
		}
	}
	b.rec.line("settings files change: budgetSlack %s", slack)
	for _, d := range b.daemons {
		_ = d.process.Process.Kill()
	}
	ends := b.restartFor(recoveryTime + 8*time.Second)
	back := time.Now().Add(-8 * time.Second)
	after := share(b.clients.answers(back, time.Now().Add(-time.Second)))
	b.rec.line("served: %.2f of the requests before, %.2f later than %s after the restart; %d ends of processes by themselves", before, after, recoveryTime, ends)
	fmt.Printf("served %.2f before and %.2f after; %d ends of processes by themselves\n", before, after, ends)
	switch {
	case before < minRecoveredShare:
		return "", errors.New("too few requests were served before")
	case after < minRecoveredShare:
		return fmt.Sprintf("RECOVER: %.2f of the requests are served later than %s after the processes are started again, %.2f before", after, recoveryTime, before), nil
	}
	return "", nil
}

// restartFor starts each daemon that has ended again, for a time, and returns how often one
// ended after that.
func (b *bench) restartFor(d time.Duration) (ends int) {
	for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(restartDelay) {
		for _, daemon := range b.daemons {
			select {
			case <-daemon.exited:
				ends++
				_ = b.launch(daemon)
			default:
			}
		}
	}
	return ends - len(b.daemons)
}

// share returns the share of the answers that are a success.
func share(answers map[int]int) float64 {
	all := 0
	for _, n := range answers {
		all += n
	}
	return float64(answers[http.StatusOK]) / float64(max(1, all))
}
