package upstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/marjoramflow/marjoramflow/internal/ctxtime"
)

const (
	// defaultDialTimeout is many round trips between regions. A target that does
	// not answer the opening packet in that time is treated as unreachable, since
	// the packet is repeated only after a second.
	defaultDialTimeout = 400 * time.Millisecond
	// defaultIdle is the longest time that a connection is kept unused when the
	// target states no timeout of its own.
	defaultIdle = 4 * time.Second
	// idleMargin is subtracted from the timeout that a target states: a request must
	// not cross the target's close.
	idleMargin = time.Second
	// userTimeout is the time after which unacknowledged data breaks a connection
	// (TCP_USER_TIMEOUT), so that a path gone silent is noticed.
	userTimeout = 2 * time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveCount detect a silent target
	// within 3 s while it owes an answer.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// maxIdlePerTarget bounds the kept connections of one target. Targets of plain
	// services accept about 100 connections from 8 daemons together, and fewer while
	// requests queue there.
	maxIdlePerTarget = 4
	// bufferSize is the read buffer of a connection, larger than the heads of
	// answers and small against the memory of a VM.
	bufferSize = 4 << 10
	// maxHeadBytes bounds the status line and the headers of an answer.
	maxHeadBytes = 64 << 10
	// tcpUserTimeout is the socket option TCP_USER_TIMEOUT of Linux.
	tcpUserTimeout = 0x12
)

// Options configure a Pool. Zero values take defaults.
type Options struct {
	DialTimeout time.Duration
}

// Stats are totals since the pool was created.
type Stats struct {
	// Dialled and Reused count the connections that requests went over, Poisoned
	// those that were dropped because bytes had arrived while they were idle.
	Dialled, Reused, Poisoned uint64
}

// Pool holds idle connections by address.
type Pool struct {
	dialer net.Dialer

	mu    sync.Mutex
	idle  map[string][]*conn
	stats Stats
}

// conn is one connection to a target.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// until is the time until which the idle connection may be used.
	until time.Time
	// headLeft bounds the bytes that the head of an answer may still take; negative
	// is no bound, while a body is read.
	headLeft int
}

// errHeadTooLarge ends a connection whose answer has no end of its headers.
var errHeadTooLarge = errors.New("head of the answer exceeds its bound")

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if c.headLeft == 0 {
		return 0, errHeadTooLarge
	}
	if c.headLeft > 0 && len(p) > c.headLeft {
		p = p[:c.headLeft]
	}
	n, err := c.Conn.Read(p)
	if c.headLeft > 0 {
		c.headLeft -= n
	}
	return n, err
}

// NewPool returns an empty pool.
func NewPool(options Options) *Pool {
	if options.DialTimeout == 0 {
		options.DialTimeout = defaultDialTimeout
	}
	return &Pool{
		idle: make(map[string][]*conn),
		dialer: net.Dialer{
			Timeout: options.DialTimeout,
			Control: setUserTimeout,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable:   true,
				Idle:     keepAliveIdle,
				Interval: keepAliveInterval,
				Count:    keepAliveCount,
			},
		},
	}
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout/time.Millisecond))
	})
	return errors.Join(err, optErr)
}

// Stats returns the totals.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stats
}

// connect returns a connection to an address: an idle one, unless fresh is set or
// none is fit for use, or a new one.
func (p *Pool) connect(ctx context.Context, address string, fresh bool) (*conn, error) {
	for !fresh {
		c := p.takeIdle(address)
		if c == nil {
			break
		}
		if time.Now().After(c.until) || c.hasBytes() {
			c.Close()
			continue
		}
		p.count(func(s *Stats) { s.Reused++ })
		return c, nil
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	p.count(func(s *Stats) { s.Dialled++ })
	c := &conn{Conn: raw}
	c.reader = bufio.NewReaderSize(c, bufferSize)
	return c, nil
}

// CheckReachable opens a connection to an address and closes it again.
func (p *Pool) CheckReachable(ctx context.Context, address string) error {
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return raw.Close()
}

func (p *Pool) count(add func(*Stats)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	add(&p.stats)
}

// takeIdle takes the connection that was used last.
func (p *Pool) takeIdle(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	if len(list) == 1 {
		delete(p.idle, address)
	}
	return c
}

// keep returns a connection to the pool for at most idle.
func (p *Pool) keep(address string, c *conn, idle time.Duration) {
	c.until = time.Now().Add(idle)
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[address]) >= maxIdlePerTarget {
		c.Close()
		return
	}
	p.idle[address] = append(p.idle[address], c)
}

// DropIdle drops the idle connections of an address, after its target has gone or
// was found silent.
func (p *Pool) DropIdle(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		c.Close()
	}
}

// Run closes idle connections whose time is over until the context ends.
func (p *Pool) Run(ctx context.Context) error {
	return ctxtime.RunEvery(ctx, sweepInterval, p.sweep)
}

// sweepInterval is short against the idle timeouts of targets.
const sweepInterval = time.Second

func (p *Pool) sweep(now time.Time) {
	var stale []*conn
	p.mu.Lock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.After(c.until) {
				stale = append(stale, c)
			} else {
				kept = append(kept, c)
			}
		}
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
	p.mu.Unlock()
	for _, c := range stale {
		c.Close()
	}
}

// hasBytes reports whether bytes or the end of the connection wait to be read. An
// idle connection on which anything arrived is of no use.
func (c *conn) hasBytes() bool {
	if c.reader.Buffered() > 0 {
		return true
	}
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true
	}
	pending := true
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		// The socket does not block: with nothing to read, the call fails at once.
		_, readErr := syscall.Read(int(fd), one[:])
		pending = !errors.Is(readErr, syscall.EAGAIN)
		return true
	})
	return pending || err != nil
}
