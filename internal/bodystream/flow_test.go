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

// Bodies of all lengths, in pieces of all sizes, brought and taken by two goroutines, ended in all ways: what is
// taken is what came, from its beginning on; whole is told only of what is; never more memory than granted, and
// none in the end.
func TestFlow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pool := bytebudget.NewPool(1 << 20)
		size := rapid.IntRange(0, 5*Chunk).Draw(t, "size")
		body := make([]byte, size)
		for i := range body {
			body[i] = byte(i * i >> 3)
		}
		length := int64(size)
		least := int64(2 * Chunk)
		if rapid.Bool().Draw(t, "announced") {
			least = min(least, length)
		} else {
			length = -1
		}
		grant, err := pool.Take(t.Context(), bytebudget.Holder{Name: "s-0"}, least)
		require.NoError(t, err)
		most := least + rapid.SampledFrom([]int64{0, Chunk, 9 * Chunk}).Draw(t, "more")
		f := New(length, grant, most)
		broken, left := errors.New("broken"), errors.New("left")
		breaks := rapid.IntRange(0, 2*size+1).Draw(t, "breaks")
		leaves := rapid.IntRange(0, 2*size+1).Draw(t, "leaves")
		pieces := rapid.SliceOfN(rapid.IntRange(1, 2*Chunk), 4, 4).Draw(t, "pieces")
		cut := rapid.Bool().Draw(t, "cut") // by a third
		go func() {
			for at := 0; at < size; {
				if at >= breaks {
					f.End(broken)
					return
				}
				room, err := f.Room()
				if err != nil {
					f.End(err)
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
			require.LessOrEqual(t, pool.Used(), most)
			n := min(len(b), pieces[len(got)%4])
			got = append(got, b[:n]...)
			f.Took(n)
			if len(got) > leaves {
				if cut {
					f.Cut(left)
				}
				break
			}
		}
		f.Close()
		<-f.Over()
		require.True(t, bytes.HasPrefix(body, got))
		switch result := f.Result(); {
		case result == io.EOF:
			require.Len(t, got, size)
			require.Equal(t, int64(size), f.Length())
		case len(got) > leaves && cut && len(got) < size:
			require.True(t, result == left || result == broken)
		default:
			require.True(t, len(got) < size || len(got) > leaves || breaks <= size)
		}
		require.Zero(t, pool.Used())
	})
}

// Guards against taking a slow client's time for the server's, and against a bringer that nobody wakes.
func TestHeldUp(t *testing.T) {
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
		_, err := f.Room()
		woken <- err
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
		_, err := f.Room()
		woken <- err
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
