package cwhttp

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// SetUserTimeout makes the kernel close a connection whose sent data stays unacknowledged for longer than d. In a network
// partition no reset arrives, so the connection would otherwise stay open.
func SetUserTimeout(conn *net.TCPConn, d time.Duration) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	var optionErr error
	if err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	}); err != nil {
		return err
	}
	return optionErr
}
