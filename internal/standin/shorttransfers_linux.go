package standin

import (
	"fmt"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// A call that is to transfer fewer bytes is carried out by this process, on a duplicate of the program's
// descriptor and with the program's memory, and the program is told the result.

// programMemory is the memory of a program that waits in a system call.
type programMemory struct{ thread int }

// read fills b from an address.
func (m programMemory) read(b []byte, address uint64) error {
	return m.transfer(unix.ProcessVMReadv, b, address)
}

// write stores b at an address.
func (m programMemory) write(b []byte, address uint64) error {
	return m.transfer(unix.ProcessVMWritev, b, address)
}

func (m programMemory) transfer(
	call func(pid int, local []unix.Iovec, remote []unix.RemoteIovec, flags uint) (int, error),
	b []byte, address uint64,
) error {
	if len(b) == 0 {
		return nil
	}
	local := unix.Iovec{Base: &b[0]}
	local.SetLen(len(b))
	n, err := call(m.thread, []unix.Iovec{local}, []unix.RemoteIovec{{Base: uintptr(address), Len: len(b)}}, 0)
	if err != nil {
		return fmt.Errorf("memory of the program: %w", err)
	}
	if n < len(b) {
		return syscall.EFAULT
	}
	return nil
}

// firstBuffer returns the address and length of the first buffer of a call that has any bytes.
func (m programMemory) firstBuffer(call uint32, args [6]uint64) (address, length uint64, err error) {
	if call != unix.SYS_WRITEV {
		return args[1], args[2], nil
	}
	for i := range args[2] {
		var buffer [2]uint64 // struct iovec
		raw := unsafe.Slice((*byte)(unsafe.Pointer(&buffer)), unsafe.Sizeof(buffer))
		if err := m.read(raw, args[1]+i*uint64(len(raw))); err != nil || buffer[1] > 0 {
			return buffer[0], buffer[1], err
		}
	}
	return 0, 0, nil
}

// transferShort carries out a read, write or writev of a program with at most limit bytes, and returns the
// call's result.
func transferShort(process, thread int, call uint32, args [6]uint64, limit int) (int, error) {
	descriptor, err := duplicateDescriptor(process, int(args[0]))
	if err != nil {
		return 0, err
	}
	defer func() { _ = unix.Close(descriptor) }()
	memory := programMemory{thread}
	address, length, err := memory.firstBuffer(call, args)
	if err != nil {
		return 0, err
	}
	b := make([]byte, min(length, uint64(limit)))
	if call == unix.SYS_READ {
		n, err := unix.Read(descriptor, b)
		if err != nil {
			return 0, err
		}
		return n, memory.write(b[:n], address)
	}
	if err := memory.read(b, address); err != nil {
		return 0, err
	}
	return unix.Write(descriptor, b)
}

// duplicateDescriptor returns a duplicate of another process's descriptor.
func duplicateDescriptor(process, descriptor int) (int, error) {
	handle, err := unix.PidfdOpen(process, 0)
	if err != nil {
		return 0, err
	}
	defer func() { _ = unix.Close(handle) }()
	return unix.PidfdGetfd(handle, descriptor, 0)
}
