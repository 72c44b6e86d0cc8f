package peer

import (
	"net"
	"time"
)

const (
	// ioTimeout is the time without received bytes after which a session is
	// closed. It also bounds each write.
	ioTimeout = 3 * time.Second
	// pingInterval is the time without sent messages after which the daemon that
	// dialled the session sends a ping.
	pingInterval = time.Second
	// pingRounding is the multiple to which ping times are rounded, so that the
	// pings of all sessions share wake-ups of the process.
	pingRounding = 250 * time.Millisecond
	// acceptorPingDelay is added to pingInterval on the accepting side. The
	// daemon that dialled therefore pings first, and an idle session carries one
	// ping and one pong a second instead of two of each.
	acceptorPingDelay = 500 * time.Millisecond
)

// wireConn sets a deadline of ioTimeout for each read and write and counts the
// bytes on the wire, TLS records included.
type wireConn struct {
	net.Conn
	stats *counters
}

// Read implements net.Conn.
func (c *wireConn) Read(p []byte) (int, error) {
	if err := c.Conn.SetReadDeadline(time.Now().Add(ioTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	c.stats.wireIn.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *wireConn) Write(p []byte) (int, error) {
	if err := c.Conn.SetWriteDeadline(time.Now().Add(ioTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.stats.wireOut.Add(uint64(n))
	return n, err
}

// transport is the connection that drpc reads and writes: the wireConn itself,
// or TLS on top of it. Close closes the TCP connection without sending the TLS
// close_notify alert, because that write could block on a silent connection.
type transport struct {
	net.Conn
	wire *wireConn
}

// Close implements net.Conn.
func (t *transport) Close() error {
	return t.wire.Conn.Close()
}
