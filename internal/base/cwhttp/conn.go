package cwhttp

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// SetUserTimeout has the kernel end a connection whose bytes stay unacknowledged for longer than d, as behind a
// partition, where no reset ever comes.
func SetUserTimeout(conn *net.TCPConn, d time.Duration) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	var set error
	if err := raw.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	}); err != nil {
		return err
	}
	return set
}
