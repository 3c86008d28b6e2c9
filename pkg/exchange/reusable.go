package exchange

import (
	"net"
	"syscall"
)

// isReusable reports whether an idle connection is open and has nothing to read. A closed one, or
// one with bytes that belong to no request, must not be reused.
func isReusable(idle net.Conn) bool {
	raw, ok := idle.(syscall.Conn)
	if !ok {
		return true
	}
	access, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = access.Read(func(descriptor uintptr) bool {
		var buffer [1]byte
		_, readError := syscall.Read(int(descriptor), buffer[:])
		reusable = readError == syscall.EAGAIN || readError == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && reusable
}
