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

// TestAnyTransfer: bodies of all lengths, in pieces of all sizes, written and read by two goroutines, ended in all ways:
// what is read is what was written, from its beginning on; only a complete body is said to be one; never more memory than
// granted, and none in the end.
func TestAnyTransfer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pool := bytebudget.NewPool(1 << 20)
		size := rapid.IntRange(0, 5*Chunk).Draw(t, "size")
		body := make([]byte, size)
		for i := range body {
			body[i] = byte(i * i >> 3)
		}
		length := int64(size)
		minBytes := int64(2 * Chunk)
		if rapid.Bool().Draw(t, "announced") {
			minBytes = min(minBytes, length)
		} else {
			length = -1
		}
		grant, err := pool.Take(t.Context(), bytebudget.Holder{Name: "s-0"}, minBytes)
		require.NoError(t, err)
		maxBytes := minBytes + rapid.SampledFrom([]int64{0, Chunk, 9 * Chunk}).Draw(t, "more")
		f := New(length, grant, maxBytes)
		broken, abandoned := errors.New("broken"), errors.New("abandoned")
		breaksAfter := rapid.IntRange(0, 2*size+1).Draw(t, "breaksAfter")
		stopsAfter := rapid.IntRange(0, 2*size+1).Draw(t, "stopsAfter")
		pieces := rapid.SliceOfN(rapid.IntRange(1, 2*Chunk), 4, 4).Draw(t, "pieces")
		cut := rapid.Bool().Draw(t, "cut") // by a third goroutine
		go func() {
			for at := 0; at < size; {
				if at >= breaksAfter {
					f.End(broken)
					return
				}
				room, stopErr := f.Room()
				if stopErr != nil {
					f.End(stopErr)
					return
				}
				n := copy(room[:min(len(room), pieces[at%4])], body[at:])
				f.Came(n)
				at += n
			}
			f.End(io.EOF)
		}()
		var got []byte
		for {
			var b []byte
			if b, err = f.Next(); err != nil {
				break
			}
			require.LessOrEqual(t, pool.Used(), maxBytes)
			n := min(len(b), pieces[len(got)%4])
			got = append(got, b[:n]...)
			f.Took(n)
			if len(got) > stopsAfter {
				if cut {
					f.Cut(abandoned)
				}
				break
			}
		}
		f.Close()
		<-f.Over()
		require.True(t, bytes.HasPrefix(body, got))
		switch result := f.Result(); {
		case errors.Is(result, io.EOF):
			require.Len(t, got, size)
			require.Equal(t, int64(size), f.Length())
		case len(got) > stopsAfter && cut && len(got) < size:
			require.Contains(t, []error{abandoned, broken}, result)
		default:
			require.True(t, len(got) < size || len(got) > stopsAfter || breaksAfter <= size)
		}
		require.Zero(t, pool.Used())
	})
}

// TestStallOfTheReader: the time of a slow reader does not count as the writer's, and a writer that waits is woken.
func TestStallOfTheReader(t *testing.T) {
	pool := bytebudget.NewPool(1 << 20)
	grant, err := pool.Take(t.Context(), bytebudget.Holder{Name: "s-0"}, Chunk)
	require.NoError(t, err)
	f := New(-1, grant, Chunk)
	f.HeldUp(time.Hour)
	room, err := f.Room()
	require.NoError(t, err)
	f.Came(len(room))
	woken := make(chan error)
	go func() {
		_, stopErr := f.Room()
		woken <- stopErr
	}()
	const wait = 30 * time.Millisecond
	require.Eventually(t, func() bool { return f.Progress().HeldUp > wait }, 10*time.Second, time.Millisecond)
	p := f.Progress()
	require.Equal(t, time.Hour, p.Before)
	require.Less(t, p.Coming, p.HeldUp)
	b, err := f.Next()
	require.NoError(t, err)
	f.Took(len(b))
	require.NoError(t, <-woken)
	room, err = f.Room()
	require.NoError(t, err)
	f.Came(len(room))
	go func() {
		_, stopErr := f.Room()
		woken <- stopErr
	}()
	stopped := make(chan struct{})
	f.OnStop(func() { close(stopped) })
	f.Cut(ErrLeft)
	require.ErrorIs(t, <-woken, ErrLeft)
	<-stopped
	f.End(io.EOF)
	f.Close()
	require.Equal(t, ErrLeft, f.Result())
	require.Zero(t, pool.Used())
}
