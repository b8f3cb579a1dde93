package standin

import (
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// refusedSeccompEnv names an environment variable. Where it is set, this test binary refuses itself the system
// call seccomp with that error number, and prints what it can then say of system call filters.
const refusedSeccompEnv = "DUNESTEP_REFUSED_SECCOMP"

func init() {
	var errno uint32
	if _, err := fmt.Sscan(os.Getenv(refusedSeccompEnv), &errno); err != nil {
		return
	}
	runtime.LockOSThread()
	if err := refuseSeccomp(errno); err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	fmt.Println(ListenerRefusal())
	fmt.Println(FilterRefusal())
	os.Exit(0)
}

// refuseSeccomp makes seccomp fail in all threads of this process.
func refuseSeccomp(errno uint32) error {
	filter := append(killOtherArchitectures(), loadInput(callOffset),
		skipUnless(unix.BPF_JEQ, unix.SYS_SECCOMP, 1), returnAction(unix.SECCOMP_RET_ERRNO|errno),
		returnAction(unix.SECCOMP_RET_ALLOW))
	_, err := installFilter(filter, unix.SECCOMP_FILTER_FLAG_TSYNC)
	return err
}

// A machine that refuses system call filters says so, with the reason, in one line.
func TestRefusedSeccompIsReported(t *testing.T) {
	for errno, text := range map[unix.Errno]string{
		unix.ENOSYS: "function not implemented",
		unix.EPERM:  "operation not permitted",
		unix.EBUSY:  "device or resource busy",
	} {
		c := exec.Command(os.Args[0])
		c.Env = append(os.Environ(), fmt.Sprintf("%s=%d", refusedSeccompEnv, uint32(errno)))
		output, err := c.CombinedOutput()
		require.NoError(t, err, string(output))
		line := "installing the system call filter: " + text + "\n"
		require.Equal(t, line+line, string(output))
	}
}

func TestSyscallFaultsRefuseUnknownCall(t *testing.T) {
	const noCall = 4711
	_, _, err := NewSyscallFaults("/bin/true", unix.SYS_READ, noCall)
	require.ErrorIs(t, err, UnknownCallError{noCall})
	require.EqualError(t, err, "system call 4711 is not known on linux/"+runtime.GOARCH)
}

func TestFileCallsAreNamed(t *testing.T) {
	for _, call := range FileCalls() {
		name, err := SystemCallName(call)
		require.NoError(t, err)
		require.NotEmpty(t, name)
	}
}
