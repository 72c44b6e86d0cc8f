package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"
)

const (
	// streamEvents is the number of events of each stream, eventPause the pause between two.
	streamEvents = 49
	eventPause   = 10 * time.Millisecond
	// prefillTime is the time from the head of an answer to its first event.
	prefillTime = 600 * time.Millisecond
)

// runServerProcess is a model server in a process of its own. It streams events, and its
// answers end with their channel. It writes a line for each request that it runs.
func runServerProcess(args []string) int {
	flags := flag.NewFlagSet("server", flag.ContinueOnError)
	id := flags.String("id", "", "id of the server")
	address := flags.String("address", "", "loopback address to listen on")
	if flags.Parse(args) != nil {
		return exitNotRun
	}
	listener, err := net.Listen("tcp", *address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	for {
		conn, err := listener.Accept()
		if err != nil {
			return exitNotRun
		}
		go serveStream(conn, *id)
	}
}

// serveStream answers the one request of a channel.
func serveStream(conn net.Conn, id string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	r, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if r.URL.Path == "/health" {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", id)
		return
	}
	attempt := r.Header.Get("X-Attempt-Id")
	if expected := r.Header.Get("X-Expect-Instance"); expected != id {
		fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: %s\r\nX-Attempt-Id: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", id, attempt)
		return
	}
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	fmt.Printf("run %s\n", attempt)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: %s\r\nX-Response-Signature: sig.%s\r\nX-Instance-Id: %s\r\nConnection: close\r\n\r\n", attempt, attempt, id)
	time.Sleep(prefillTime)
	for event := first; event <= streamEvents; event++ {
		if _, err := fmt.Fprintf(conn, "id: %d\ndata: token %d\n\n", event, event); err != nil {
			return
		}
		time.Sleep(eventPause)
	}
}
