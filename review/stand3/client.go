package main

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// apiKey is the key of the only client account.
const apiKey = "k1example0000000001"

// answer is what a client got for a request.
type answer struct {
	id     string
	daemon string
	path   string
	sentAt time.Time
	status int
	err    error
}

var requestNumber atomic.Uint64

// ask sends a request to a daemon on a connection of its own and returns the answer.
func ask(d *daemon, method, host, path string) answer {
	a := answer{id: fmt.Sprintf("%016x", 0x5a00000000000000+requestNumber.Add(1)), daemon: d.name, path: path, sentAt: time.Now()}
	r, err := http.NewRequest(method, "http://"+d.frontAddress()+path, nil)
	if err != nil {
		a.err = err
		return a
	}
	r.Host = host
	r.Header.Set("X-Attempt-Id", a.id)
	r.Header.Set("X-Api-Key", apiKey)
	r.Header.Set("X-Deadline-Ms", "2000")
	client := &http.Client{Timeout: 2500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		a.err = err
		return a
	}
	defer response.Body.Close()
	_, a.err = io.Copy(io.Discard, response.Body)
	a.status = response.StatusCode
	return a
}

// probeReady asks a daemon whether it is ready, like the load balancer.
func probeReady(d *daemon) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/ready", d.ip, d.ready))
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}
