package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxy forwards TCP connections to one address and injects faults into them on demand.
// It is safe for concurrent use.
type proxy struct {
	listener net.Listener
	upstream string

	mu sync.Mutex
	// delay is added before each chunk is forwarded, in both directions.
	delay time.Duration
	// refuse resets new connections at once.
	refuse bool
	conns  map[*proxiedConn]bool
}

// proxiedConn is one forwarded connection, from a client to the proxy and from there to the
// upstream address.
type proxiedConn struct {
	client, upstream net.Conn
	mu               sync.Mutex
	// dropRequests drops the data from the client, dropAnswers the data from upstream.
	dropRequests, dropAnswers bool
}

func newProxy(upstream string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, upstream: upstream, conns: make(map[*proxiedConn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string {
	return p.listener.Addr().String()
}

func (p *proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(in)
	}
}

func (p *proxy) forward(client net.Conn) {
	p.mu.Lock()
	refuse := p.refuse
	p.mu.Unlock()
	if refuse {
		reset(client)
		return
	}
	upstream, err := net.Dial("tcp", p.upstream)
	if err != nil {
		reset(client)
		return
	}
	c := &proxiedConn{client: client, upstream: upstream}
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { p.copyDirection(c, client, upstream, &c.dropRequests) })
	directions.Go(func() { p.copyDirection(c, upstream, client, &c.dropAnswers) })
	directions.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// copyDirection forwards data from one connection to the other until either ends; a reset is
// passed on as one. While
// *drop is set, it reads and discards the data; the other side gets nothing, not even the
// end of the connection.
func (p *proxy) copyDirection(c *proxiedConn, from, to net.Conn, drop *bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		p.mu.Lock()
		delay := p.delay
		p.mu.Unlock()
		time.Sleep(delay)
		c.mu.Lock()
		dropping := *drop
		c.mu.Unlock()
		if dropping {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil && err != io.EOF {
			reset(to)
		}
		if err != nil {
			from.Close()
			to.Close()
			return
		}
	}
}

// updateConns calls change for each connection that is open now.
func (p *proxy) updateConns(change func(*proxiedConn)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		change(c)
	}
}

// resetAll resets the open connections.
func (p *proxy) resetAll() {
	p.updateConns(func(c *proxiedConn) {
		reset(c.client)
		reset(c.upstream)
	})
}

// silence makes the open connections drop all data in one direction or both until they are
// closed. Connections that are opened later are not affected.
func (p *proxy) silence(requests, answers bool) {
	p.updateConns(func(c *proxiedConn) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.dropRequests, c.dropAnswers = c.dropRequests || requests, c.dropAnswers || answers
	})
}

// update changes the fault switches of the proxy under its lock.
func (p *proxy) update(change func(*proxy)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(p)
}

func (p *proxy) close() {
	p.listener.Close()
	p.resetAll()
}

// reset closes a connection so that the other side gets a TCP reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.Close()
}
