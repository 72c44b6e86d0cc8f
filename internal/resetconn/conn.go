// Package resetconn tells a connection that was reset from one that the other side closed.
//
// The kernel reports a reset once, to the call that comes next. If that is a write, a read
// returns the end of the stream afterwards, as if the other side had closed the connection in
// order. An answer that ends with its connection would then seem to be complete.
package resetconn

import (
	"context"
	"errors"
	"io"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

var (
	// ErrReset is the error of a read at the end of a stream that was reset.
	ErrReset = errors.New("the connection was reset")
	// ErrUnread is the error of a read at the end of a stream whose other side has not received
	// all that was written.
	ErrUnread = errors.New("the other side ended the stream and does not take what is sent to it")
)

const (
	// maxWait bounds the wait for the other side to receive what was written, and pollInterval
	// is the time between two looks at it.
	maxWait      = 500 * time.Millisecond
	pollInterval = 2 * time.Millisecond
	// tcpClose is the kernel's state of a connection that was reset (TCP_CLOSE).
	tcpClose = 7
)

// Conn is a TCP connection whose Read returns io.EOF only after an orderly close.
type Conn struct {
	*net.TCPConn
}

// Dialer is a net.Dialer whose TCP connections are of type *Conn.
type Dialer struct {
	net.Dialer
}

// DialContext connects like net.Dialer.DialContext.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	raw, err := d.Dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if tcp, ok := raw.(*net.TCPConn); ok {
		return &Conn{TCPConn: tcp}, nil
	}
	return raw, nil
}

// Read implements net.Conn. At the end of the stream it returns ErrReset if the connection was
// reset. While the other side has yet to receive what was written, it waits, since a side that
// closed the connection without reading all answers with a reset.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if err == io.EOF {
		if endErr := c.CheckEnd(); endErr != nil {
			return n, endErr
		}
	}
	return n, err
}

// CheckEnd returns nil if the other side, which has ended the stream, did so in order and has
// received all that was written until now. It is for users that write after the end, too.
func (c *Conn) CheckEnd() error {
	for deadline := time.Now().Add(maxWait); ; time.Sleep(pollInterval) {
		info, err := c.info()
		switch {
		case err != nil:
			return err
		case info == nil:
			return nil
		case info.State == tcpClose:
			return ErrReset
		case info.Unacked == 0 && info.Notsent_bytes == 0:
			return nil
		case time.Now().After(deadline):
			return ErrUnread
		}
	}
}

// info returns the kernel's state of the connection, or nil if the kernel does not tell it. The
// error is that of a connection which was closed on this side.
func (c *Conn) info() (info *unix.TCPInfo, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return nil, err
	}
	err = raw.Control(func(fd uintptr) {
		var unknown error
		if info, unknown = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); unknown != nil {
			info = nil
		}
	})
	return info, err
}
