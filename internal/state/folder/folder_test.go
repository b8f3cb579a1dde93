package folder

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/state"
)

func TestMain(m *testing.M) {
	if path := os.Getenv("STATE_WRITE_TO"); path != "" {
		writeForever(path)
	}
	os.Exit(m.Run())
}

// writeForever saves until the process is killed, and prints the number of each completed save.
func writeForever(path string) {
	folder, err := Open(path, owner)
	if err != nil {
		panic(err)
	}
	last := 0
	if file, _ := folder.Load(); file != nil {
		last = int(file.List.Version)
	}
	content := state.Content{List: &state.StoredList{Endpoints: make([]state.StoredEndpoint, 3000)}}
	for {
		last++
		content.List.Version = int64(last)
		if err := folder.Save(content, time.Now()); err != nil {
			panic(err)
		}
		fmt.Println(last)
	}
}

// A writing process is killed repeatedly. After each kill, Load must return a complete file: the last acknowledged
// one or the next. STATE_KILLS sets the number of kills.
func TestKilledWriterKeepsAcknowledgedWrites(t *testing.T) {
	kills, _ := strconv.Atoi(os.Getenv("STATE_KILLS"))
	kills = max(kills, 40)
	path := t.TempDir()
	newest, interrupted := 0, 0
	for range kills {
		writer := exec.Command(os.Args[0])
		writer.Env = append(os.Environ(), "STATE_WRITE_TO="+path)
		out, err := writer.StdoutPipe()
		require.NoError(t, err)
		require.NoError(t, writer.Start())
		lines := bufio.NewReader(out)
		_, err = lines.ReadString('\n')
		require.NoError(t, err)
		time.Sleep(rand.N(20 * time.Millisecond))
		require.NoError(t, writer.Process.Kill())
		acknowledged, _ := io.ReadAll(lines)
		_ = writer.Wait()
		last := 0
		if all := strings.Fields(string(acknowledged)); len(all) > 0 && strings.HasSuffix(string(acknowledged), "\n") {
			last, err = strconv.Atoi(all[len(all)-1])
			require.NoError(t, err)
		}
		left, err := filepath.Glob(filepath.Join(path, ".state-*"))
		require.NoError(t, err)
		if len(left) > 0 {
			interrupted++
		}
		folder, err := Open(path, owner)
		require.NoError(t, err)
		file, unusable := folder.Load()
		require.Empty(t, unusable)
		require.NotNil(t, file)
		require.Len(t, file.List.Endpoints, 3000)
		n := int(file.List.Version)
		require.GreaterOrEqual(t, n, max(last, newest))
		if last > 0 {
			require.LessOrEqual(t, n, last+1)
		}
		newest = n
		left, err = filepath.Glob(filepath.Join(path, ".state-*"))
		require.NoError(t, err)
		require.Empty(t, left, "Open must remove the leftovers of interrupted writes")
		require.NoError(t, folder.Close())
	}
	require.NotZero(t, interrupted, "some processes must be killed during a write")
	t.Logf("%d kills, %d of them during a write, %d writes", kills, interrupted, newest)
}

// A folder belongs to one agent: no other agent can read or replace its files. Load returns the newest complete file.
func TestFolderBelongsToItsOwner(t *testing.T) {
	path := t.TempDir()
	first, err := Open(path, owner)
	require.NoError(t, err)
	file, unusable := first.Load()
	require.True(t, file == nil && unusable == nil)
	require.NoError(t, first.Save(numberedContent(1), time.Now()))
	_, err = Open(path, state.Owner{Deployment: "d", Agent: "n1"})
	require.ErrorIs(t, err, ErrInUse)
	require.NoError(t, first.Save(numberedContent(2), time.Now()))
	require.NoError(t, first.Close())

	// Another agent, or the same agent in another deployment, reads nothing and replaces nothing.
	for _, o := range []state.Owner{{Deployment: "d", Agent: "n1"}, {Deployment: "e", Agent: "n0"}} {
		second, openErr := Open(path, o)
		require.NoError(t, openErr)
		file, unusable = second.Load()
		require.Nil(t, file)
		require.Len(t, unusable, 2)
		require.ErrorIs(t, unusable[0], state.ErrOtherOwner)
		require.ErrorIs(t, second.Save(numberedContent(3), time.Now()), state.ErrOtherOwner)
		require.NoError(t, second.Close())
	}

	// With the clock set back by a year, the newer file is found by its generation. Then that file is damaged.
	third, err := Open(path, owner)
	require.NoError(t, err)
	third.Load()
	require.NoError(t, third.Save(numberedContent(3), time.Now().AddDate(-1, 0, 0)))
	file, _ = third.Load()
	require.Equal(t, int64(3), file.List.Version)
	require.NoError(t, os.WriteFile(filepath.Join(path, slots[1-third.nextSlot]), []byte("DUNESTEP but not complete"), 0o600))
	file, unusable = third.Load()
	require.Equal(t, int64(2), file.List.Version)
	require.Len(t, unusable, 1)
	require.ErrorIs(t, unusable[0], state.ErrDamaged)
	require.NoError(t, third.Save(numberedContent(4), time.Now()))
	file, unusable = third.Load()
	require.Equal(t, int64(4), file.List.Version)
	require.Empty(t, unusable)
	require.NoError(t, third.Close())

	// If nothing can be written, here because the lock file is a folder, Load still works and Save returns the reason.
	require.NoError(t, os.Remove(filepath.Join(path, lockName)))
	require.NoError(t, os.Mkdir(filepath.Join(path, lockName), 0o700))
	readOnly, err := Open(path, owner)
	require.NoError(t, err)
	file, _ = readOnly.Load()
	require.Equal(t, int64(4), file.List.Version)
	require.ErrorIs(t, readOnly.Save(numberedContent(5), time.Now()), syscall.EISDIR)
	require.NoError(t, readOnly.Close())
	_, err = Open(filepath.Join(path, "nowhere"), owner)
	require.ErrorIs(t, err, os.ErrNotExist)
}

func stateFiles(path string) []string {
	found, err := filepath.Glob(filepath.Join(path, "state-*"))
	if err != nil {
		panic(err)
	}
	return found
}

// Measures a write of about the size of 1000 servers, with its processor time including the kernel's.
func BenchmarkSave(b *testing.B) {
	folder, err := Open(b.TempDir(), owner)
	require.NoError(b, err)
	content := state.Content{List: &state.StoredList{Endpoints: make([]state.StoredEndpoint, 1000)}}
	for i := range content.List.Endpoints {
		content.List.Endpoints[i].ID = strings.Repeat("s", 200)
	}
	cpuTime := func() time.Duration {
		var r syscall.Rusage
		_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
		return time.Duration(r.Utime.Nano() + r.Stime.Nano())
	}
	before := cpuTime()
	for b.Loop() {
		require.NoError(b, folder.Save(content, time.Now()))
	}
	b.ReportMetric(float64((cpuTime()-before).Microseconds())/1000/float64(b.N), "cpu-ms/op")
}
