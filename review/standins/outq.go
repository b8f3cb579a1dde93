package main

import (
	"syscall"
	"unsafe"
)

const siocOutQ = 0x5411

// outq returns how many bytes of a socket its peer's machine has not acknowledged.
func outq(fd uintptr) int {
	var n int32
	_, _, errno := syscall.Syscall(syscall.SYS_IOCTL, fd, siocOutQ, uintptr(unsafe.Pointer(&n)))
	if errno != 0 {
		return -1
	}
	return int(n)
}
