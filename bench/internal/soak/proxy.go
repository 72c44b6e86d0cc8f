package soak

import (
	"net"
	"sync"
	"time"
)

// proxy forwards connections to one address and harms them on demand. It is safe for
// concurrent use.
type proxy struct {
	listener net.Listener
	to       string

	mu sync.Mutex
	// delay holds up each chunk in both directions.
	delay time.Duration
	// refuse closes new connections at once.
	refuse bool
	links  map[*link]bool
}

// link is one forwarded connection.
type link struct {
	in, out net.Conn
	mu      sync.Mutex
	// silent drops what arrives: requests, answers or both.
	silentUp, silentDown bool
}

func newProxy(to string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, to: to, links: make(map[*link]bool)}
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
		go p.serve(in)
	}
}

func (p *proxy) serve(in net.Conn) {
	p.mu.Lock()
	refuse := p.refuse
	p.mu.Unlock()
	if refuse {
		reset(in)
		return
	}
	out, err := net.Dial("tcp", p.to)
	if err != nil {
		reset(in)
		return
	}
	l := &link{in: in, out: out}
	p.mu.Lock()
	p.links[l] = true
	p.mu.Unlock()
	var pumps sync.WaitGroup
	pumps.Go(func() { p.pump(l, in, out, &l.silentUp) })
	pumps.Go(func() { p.pump(l, out, in, &l.silentDown) })
	pumps.Wait()
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
}

// pump copies one direction until it ends. A silent direction reads on, and the other
// side hears nothing, not even the end.
func (p *proxy) pump(l *link, from, to net.Conn, silent *bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		p.mu.Lock()
		delay := p.delay
		p.mu.Unlock()
		time.Sleep(delay)
		l.mu.Lock()
		dropped := *silent
		l.mu.Unlock()
		if dropped {
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
		if err != nil {
			from.Close()
			to.Close()
			return
		}
	}
}

// harm applies a change to the connections that are open now.
func (p *proxy) harm(change func(*link)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		change(l)
	}
}

// resetAll resets the open connections.
func (p *proxy) resetAll() {
	p.harm(func(l *link) {
		reset(l.in)
		reset(l.out)
	})
}

// silence drops everything that arrives on the open connections in one direction or
// both, for good.
func (p *proxy) silence(up, down bool) {
	p.harm(func(l *link) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.silentUp, l.silentDown = l.silentUp || up, l.silentDown || down
	})
}

func (p *proxy) set(change func(*proxy)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(p)
}

func (p *proxy) close() {
	p.listener.Close()
	p.resetAll()
}

// reset closes a connection so that the other side gets a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.Close()
}
