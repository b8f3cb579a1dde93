package bodystream

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"dunestep/internal/bytebudget"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Bodies of random lengths are written and read by two goroutines in pieces of random sizes, and ended in random
// ways. The bytes read are a prefix of those written, only a complete body is reported as complete, the memory stays
// within the grant, and all of it is released at the end.
func TestRandomTransfers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pool := bytebudget.NewPool(1 << 20)
		size := rapid.IntRange(0, 5*ChunkBytes).Draw(t, "size")
		body := make([]byte, size)
		for i := range body {
			body[i] = byte(i * i >> 3)
		}
		length := int64(size)
		minBytes := int64(2 * ChunkBytes)
		if rapid.Bool().Draw(t, "announced") {
			minBytes = min(minBytes, length)
		} else {
			length = -1
		}
		grant, err := pool.Reserve(t.Context(), bytebudget.Holder{Name: "s-0"}, minBytes)
		require.NoError(t, err)
		maxBytes := minBytes + rapid.SampledFrom([]int64{0, ChunkBytes, 9 * ChunkBytes}).Draw(t, "more")
		s := New(length, grant, maxBytes)
		broken, abandoned := errors.New("broken"), errors.New("abandoned")
		breaksAfter := rapid.IntRange(0, 2*size+1).Draw(t, "breaksAfter")
		stopsAfter := rapid.IntRange(0, 2*size+1).Draw(t, "stopsAfter")
		pieces := rapid.SliceOfN(rapid.IntRange(1, 2*ChunkBytes), 4, 4).Draw(t, "pieces")
		aborts := rapid.Bool().Draw(t, "aborts")
		go func() {
			for at := 0; at < size; {
				if at >= breaksAfter {
					s.CloseWrite(broken)
					return
				}
				buffer, stopErr := s.WriteBuffer()
				if stopErr != nil {
					s.CloseWrite(stopErr)
					return
				}
				n := copy(buffer[:min(len(buffer), pieces[at%4])], body[at:])
				s.CommitWrite(n)
				at += n
			}
			s.CloseWrite(io.EOF)
		}()
		var got []byte
		for {
			var b []byte
			if b, err = s.ReadBuffer(); err != nil {
				break
			}
			require.LessOrEqual(t, pool.Reserved(), maxBytes)
			n := min(len(b), pieces[len(got)%4])
			got = append(got, b[:n]...)
			s.Consume(n)
			if len(got) > stopsAfter {
				if aborts {
					s.Abort(abandoned)
				}
				break
			}
		}
		s.CloseRead()
		<-s.Done()
		require.True(t, bytes.HasPrefix(body, got))
		switch result := s.Result(); {
		case errors.Is(result, io.EOF):
			require.Len(t, got, size)
			require.Equal(t, int64(size), s.Length())
		case len(got) > stopsAfter && aborts && len(got) < size:
			require.Contains(t, []error{abandoned, broken}, result)
		default:
			require.True(t, len(got) < size || len(got) > stopsAfter || breaksAfter <= size)
		}
		require.Zero(t, pool.Reserved())
	})
}

// The time that a writer waits for a slow reader does not count as receiving time, and a waiting writer is woken
// when the reader continues or the Stream is aborted.
func TestReaderStallIsNotCountedAsReceiving(t *testing.T) {
	pool := bytebudget.NewPool(1 << 20)
	const memoryWait = 20 * time.Millisecond
	s := New(-1, bytebudget.Grant{}, 0)
	require.NoError(t, s.WaitForMemory(func() (bytebudget.Grant, error) {
		time.Sleep(memoryWait)
		p := s.Progress()
		require.True(t, p.WaitsForMemory)
		require.Zero(t, p.SilentFor)
		return pool.Reserve(t.Context(), bytebudget.Holder{Name: "s-0"}, ChunkBytes)
	}, ChunkBytes))
	buffer, err := s.WriteBuffer()
	require.NoError(t, err)
	s.CommitWrite(len(buffer))
	woken := make(chan error)
	go func() {
		_, stopErr := s.WriteBuffer()
		woken <- stopErr
	}()
	const wait = 30 * time.Millisecond
	require.Eventually(t, func() bool { return s.Progress().StalledFor > wait }, 10*time.Second, time.Millisecond)
	p := s.Progress()
	require.GreaterOrEqual(t, p.MemoryWait, memoryWait)
	require.Less(t, p.ReceivingFor, p.StalledFor)
	b, err := s.ReadBuffer()
	require.NoError(t, err)
	s.Consume(len(b))
	require.NoError(t, <-woken)
	buffer, err = s.WriteBuffer()
	require.NoError(t, err)
	s.CommitWrite(len(buffer))
	go func() {
		_, stopErr := s.WriteBuffer()
		woken <- stopErr
	}()
	stopped := make(chan struct{})
	s.OnStop(func() { close(stopped) })
	s.Abort(ErrAbandoned)
	require.ErrorIs(t, <-woken, ErrAbandoned)
	<-stopped
	s.CloseWrite(io.EOF)
	s.CloseRead()
	require.Equal(t, ErrAbandoned, s.Result())
	require.Zero(t, pool.Reserved())
}
