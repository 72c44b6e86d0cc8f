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
	"github.com/marjoramflow/marjoramflow/internal/resetconn"
)

const (
	// defaultDialTimeout is many round trips between regions. A target that does not
	// answer the SYN in that time is treated as unreachable; waiting longer is of little
	// use, since the SYN is retransmitted only after a second.
	defaultDialTimeout = 400 * time.Millisecond
	// defaultIdleTimeout is the longest time that a connection stays idle in the pool,
	// also when the target states a longer timeout or none.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the timeout that a target states, so that no request
	// is sent while the target closes the connection.
	idleMargin = time.Second
	// userTimeout is how long sent data may stay unacknowledged before the kernel breaks
	// the connection (TCP_USER_TIMEOUT), so that a network path that drops all packets is
	// noticed.
	userTimeout = 2 * time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveCount configure TCP keep-alive such
	// that an unreachable target is detected within 3 s while a request waits for its
	// answer.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// maxIdlePerTarget bounds the idle connections to one target. Targets of plain
	// services accept about 100 connections from 8 daemons together, and fewer while
	// requests queue there.
	maxIdlePerTarget = 4
	// maxOnceIdle is how long ago a connection may have been used to carry a request that
	// must not run twice. Targets close idle connections after a second or more, and a
	// request that crosses such a close has an unknown outcome.
	maxOnceIdle = 900 * time.Millisecond
	// distrustTime is how long such requests get new connections to a target after it ended
	// an idle connection, or sent bytes on one, before the time that it states.
	distrustTime = 10 * time.Second
	// readBufferBytes is the size of a connection's read buffer. It is larger than usual
	// answer headers and small compared with the memory of a VM.
	readBufferBytes = 4 << 10
	// maxHeadBytes bounds the status line and the headers of an answer, together with the
	// 1xx answers before it.
	maxHeadBytes = 64 << 10
	// optTCPUserTimeout is the number of Linux's socket option TCP_USER_TIMEOUT.
	optTCPUserTimeout = 0x12
)

// Options configures a Pool. A zero field takes its default.
type Options struct {
	DialTimeout time.Duration
}

// Stats holds totals since the pool was created.
type Stats struct {
	// Dialled and Reused count the connections that requests were sent on. Poisoned counts
	// idle connections that their target ended or sent bytes on, and reused ones that it
	// ended without an answer or answered with an answer to an earlier request.
	Dialled, Reused, Poisoned uint64
	// ConfirmedEnds and UnconfirmedEnds count the answers that ended with their connection,
	// by whether their target was found to run afterwards.
	ConfirmedEnds, UnconfirmedEnds uint64
}

// Pool opens connections to targets and holds idle ones by address. It is safe for
// concurrent use.
type Pool struct {
	dialer resetconn.Dialer

	mu    sync.Mutex
	idle  map[string][]*conn
	stats Stats
	// exchanges holds the exchanges by address.
	exchanges map[string]*addressState
	// distrustedUntil is the time, by address, until which requests that must not run twice
	// get new connections.
	distrustedUntil map[string]time.Time
}

// conn is one connection to a target.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// idleSince is the time of the connection's last use and idleUntil the time until which
	// it may stay idle. Both are zero for a connection that was never idle.
	idleSince, idleUntil time.Time
	// headBytesLeft is how many bytes of an answer's status line and headers may still be
	// read. It is negative while a body is read, which has no such bound.
	headBytesLeft int
	// headCopy holds the bytes that were read since copiesHead was set.
	copiesHead bool
	headCopy   []byte
}

// errHeadTooLarge is returned when status line and headers exceed maxHeadBytes.
var errHeadTooLarge = errors.New("head of the answer exceeds 64 KiB")

// Read implements net.Conn. It returns errHeadTooLarge once headBytesLeft is used up.
func (c *conn) Read(p []byte) (int, error) {
	if c.headBytesLeft == 0 {
		return 0, errHeadTooLarge
	}
	if c.headBytesLeft > 0 && len(p) > c.headBytesLeft {
		p = p[:c.headBytesLeft]
	}
	n, err := c.Conn.Read(p)
	if c.headBytesLeft > 0 {
		c.headBytesLeft -= n
	}
	if c.copiesHead {
		c.headCopy = append(c.headCopy, p[:n]...)
	}
	return n, err
}

// NewPool returns an empty pool.
func NewPool(options Options) *Pool {
	if options.DialTimeout == 0 {
		options.DialTimeout = defaultDialTimeout
	}
	return &Pool{
		idle:            make(map[string][]*conn),
		exchanges:       make(map[string]*addressState),
		distrustedUntil: make(map[string]time.Time),
		dialer: resetconn.Dialer{Dialer: net.Dialer{
			Timeout: options.DialTimeout,
			Control: setUserTimeout,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable:   true,
				Idle:     keepAliveIdle,
				Interval: keepAliveInterval,
				Count:    keepAliveCount,
			},
		}},
	}
}

// setUserTimeout sets TCP_USER_TIMEOUT on a new socket.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, optTCPUserTimeout, int(userTimeout/time.Millisecond))
	})
	return errors.Join(err, optErr)
}

// Stats returns a copy of the pool's totals.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stats
}

// connect returns a connection for a call. It reuses an idle one that is neither expired nor
// has pending data, and otherwise dials. A call that must not run twice reuses only a
// connection that was used just now, to a target that is not distrusted.
func (p *Pool) connect(ctx context.Context, call *Call) (*conn, error) {
	for !call.Once || !p.isDistrusted(call.Address) {
		c := p.takeIdle(call.Address)
		if c == nil {
			break
		}
		now := time.Now()
		switch {
		case now.After(c.idleUntil):
			c.Close()
		case c.hasPendingData():
			p.poison(call.Address)
			c.Close()
		case call.Once && now.Sub(c.idleSince) > maxOnceIdle:
			// The connections below it on the stack have been idle for longer still.
			p.returnIdle(call.Address, c)
			return p.dial(ctx, call.Address)
		default:
			p.updateStats(func(s *Stats) { s.Reused++ })
			return c, nil
		}
	}
	return p.dial(ctx, call.Address)
}

// dial opens a new connection to an address.
func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	p.updateStats(func(s *Stats) { s.Dialled++ })
	return newConn(raw), nil
}

// newConn returns a connection of a pool.
func newConn(raw net.Conn) *conn {
	c := &conn{Conn: raw}
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
	return c
}

// poison records that a target broke an idle connection or sent bytes on it. Its other idle
// connections are closed, since they may be in the same state.
func (p *Pool) poison(address string) {
	p.mu.Lock()
	p.stats.Poisoned++
	p.distrustedUntil[address] = time.Now().Add(distrustTime)
	p.mu.Unlock()
	p.DropIdle(address)
}

// isDistrusted reports whether requests that must not run twice get new connections to an
// address.
func (p *Pool) isDistrusted(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Before(p.distrustedUntil[address])
}

// CheckReachable opens a connection to an address and closes it again. It returns the
// error of the dial.
func (p *Pool) CheckReachable(ctx context.Context, address string) error {
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return raw.Close()
}

func (p *Pool) updateStats(update func(*Stats)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	update(&p.stats)
}

// takeIdle removes and returns the most recently used idle connection to an address, or
// returns nil if there is none.
func (p *Pool) takeIdle(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	p.idle[address] = conns[:len(conns)-1]
	if len(conns) == 1 {
		delete(p.idle, address)
	}
	return c
}

// putIdle returns a used connection to the pool for at most the duration idle. It is closed
// if the target already has maxIdlePerTarget idle ones.
func (p *Pool) putIdle(address string, c *conn, idle time.Duration) {
	c.idleSince = time.Now()
	c.idleUntil = c.idleSince.Add(idle)
	p.returnIdle(address, c)
}

// returnIdle puts a connection on the stack of idle ones.
func (p *Pool) returnIdle(address string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[address]) >= maxIdlePerTarget {
		c.Close()
		return
	}
	p.idle[address] = append(p.idle[address], c)
}

// DropIdle closes the idle connections to an address.
func (p *Pool) DropIdle(address string) {
	p.mu.Lock()
	conns := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range conns {
		c.Close()
	}
}

// Run closes expired idle connections every sweepInterval until the context ends.
func (p *Pool) Run(ctx context.Context) error {
	return ctxtime.RunEvery(ctx, sweepInterval, p.sweep)
}

// sweepInterval is short compared with the idle timeouts of targets.
const sweepInterval = time.Second

// sweep closes the idle connections that have expired by now.
func (p *Pool) sweep(now time.Time) {
	var expired []*conn
	p.mu.Lock()
	for address, until := range p.distrustedUntil {
		if !now.Before(until) {
			delete(p.distrustedUntil, address)
		}
	}
	p.forgetAddresses(now)
	for address, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if now.After(c.idleUntil) {
				expired = append(expired, c)
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
	for _, c := range expired {
		c.Close()
	}
}

// hasPendingData reports whether bytes or the end of the stream can be read from an idle
// connection. Such a connection must not be reused. It may consume one byte.
func (c *conn) hasPendingData() bool {
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
		var buffer [1]byte
		// The socket is non-blocking: with nothing to read, the call fails with EAGAIN.
		_, readErr := syscall.Read(int(fd), buffer[:])
		pending = !errors.Is(readErr, syscall.EAGAIN)
		return true
	})
	return pending || err != nil
}
