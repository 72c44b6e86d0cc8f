package peer

import (
	"net"
	"time"
)

const (
	// silenceLimit is the time without received bytes after which a session is
	// closed. It also bounds a blocked write.
	silenceLimit = 3 * time.Second
	// pingInterval is the time without sent messages after which a ping is sent.
	pingInterval = time.Second
	// pingGrid is what the times of pings are rounded to.
	pingGrid = 250 * time.Millisecond
	// acceptorPingDelay lets the daemon that dialled ping first, so that an
	// idle session carries one ping and one pong a second and not two of each.
	acceptorPingDelay = 500 * time.Millisecond
)

// wireConn bounds the time of each read and write and counts the bytes on the
// wire, TLS records included.
type wireConn struct {
	net.Conn
	stats *counters
}

// Read implements net.Conn.
func (c *wireConn) Read(p []byte) (int, error) {
	if err := c.Conn.SetReadDeadline(time.Now().Add(silenceLimit)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	c.stats.wireIn.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *wireConn) Write(p []byte) (int, error) {
	if err := c.Conn.SetWriteDeadline(time.Now().Add(silenceLimit)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.stats.wireOut.Add(uint64(n))
	return n, err
}

// transport is what drpc reads and writes. Close closes the TCP connection
// without the closing record of TLS, which could block on a silent connection.
type transport struct {
	net.Conn
	wire *wireConn
}

// Close implements net.Conn.
func (t *transport) Close() error {
	return t.wire.Conn.Close()
}
