package main

import (
	"net"
	"syscall"
	"time"
)

// powerListener is the listener of a runner whose machine can lose its power: new connections to it then hang.
type powerListener struct {
	net.Listener
	off chan struct{} // closed once there is no power
}

// Accept returns the next connection, and none without power.
func (l *powerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	select {
	case <-l.off:
		select {} // the connection stays open and unread
	default:
	}
	return conn, err
}

// switchOff makes new connections hang: the queue of connections gets the least length and is filled, so that further opening packets are dropped.
func (l *powerListener) switchOff() error {
	close(l.off)
	raw, err := l.Listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), 0) }); err != nil {
		return err
	}
	for range 8 {
		// One is taken by the pending Accept, the next ones fill the queue; they stay open.
		conn, err := net.DialTimeout("tcp", l.Addr().String(), 50*time.Millisecond)
		if err != nil {
			break
		}
		filler = append(filler, conn)
	}
	return listenErr
}

// filler keeps the connections that fill queues open.
var filler []net.Conn
