// Package netbuffer bounds the memory that the kernel takes for a connection: bytes that arrived and
// were not read yet, and bytes that were written and have not arrived yet. Its functions are safe for
// concurrent use.
package netbuffer

import (
	"syscall"

	"github.com/pkg/errors"
)

// Set sets the sizes in bytes of the buffers of a socket before it connects or listens; zero leaves one
// to the system. The sockets that a listener accepts have its sizes.
func Set(raw syscall.RawConn, receive, send int) error {
	var failure error
	err := raw.Control(func(descriptor uintptr) {
		failure = setAll(int(descriptor), receive, send)
	})
	if err != nil {
		return errors.Wrap(err, "set socket buffers")
	}
	return errors.Wrap(failure, "set socket buffers")
}

func setAll(descriptor, receive, send int) error {
	if receive > 0 {
		if err := syscall.SetsockoptInt(descriptor, syscall.SOL_SOCKET, syscall.SO_RCVBUF, receive); err != nil {
			return err
		}
	}
	if send > 0 {
		return syscall.SetsockoptInt(descriptor, syscall.SOL_SOCKET, syscall.SO_SNDBUF, send)
	}
	return nil
}
