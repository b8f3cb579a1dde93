package proving

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const ms = time.Millisecond

// What must not run twice, or has been at a bad server, is careful until it has waited.
func TestCareful(t *testing.T) {
	require.False(t, Request{Safe: true}.Careful(0))
	for _, r := range []Request{{}, {Safe: true, Ended: true}} {
		require.True(t, r.Careful(time.Hour))
		r.By = 10 * ms
		require.True(t, r.Careful(10*ms-1))
		require.False(t, r.Careful(10*ms))
	}
}

// A request goes to two servers at once, and for a part of its time, only where that does no harm.
func TestFirstAttempt(t *testing.T) {
	most := Request{Aim: 500 * ms, Safe: true, Copies: true, Most: 3}
	silent, answers := New(0), New(0)
	answers.Sent()
	answers.Ended(0, Served)
	require.True(t, silent.Twice(most))
	require.Equal(t, 200*ms, silent.Limit(most, time.Second, 0))
	require.Equal(t, 100*ms, silent.Limit(most, 100*ms, 0))
	require.False(t, answers.Twice(most))
	require.Equal(t, time.Second, answers.Limit(most, time.Second, 0))
	for what, change := range map[string]func(*Request){
		"unsafe": func(r *Request) { r.Safe = false }, "no copies": func(r *Request) { r.Copies = false },
		"had one": func(r *Request) { r.Attempts = 1 }, "one only": func(r *Request) { r.Most = 1 },
	} {
		r := most
		change(&r)
		require.False(t, silent.Twice(r), what)
	}
	last := most
	last.Attempts = 2
	require.Equal(t, time.Second, silent.Limit(last, time.Second, 0), "the last attempt has all its time")
}

func TestBook(t *testing.T) {
	var b Book
	r := Request{Aim: 500 * ms, Most: 2}
	r.By = b.By(r, 0, time.Second)
	require.Equal(t, 200*ms, r.By)
	require.Equal(t, r.By, b.By(r, 100*ms, time.Second), "what it was given first holds")
	require.False(t, b.Worth(r, 0), "nothing is to be proved")
	b.Doubt(1)
	s := b.Add()
	require.True(t, b.Worth(r, 0))
	require.False(t, b.Worth(r, r.By))
	require.False(t, b.Worth(Request{Aim: r.Aim, Most: 2, Attempts: 2, By: r.By}, 0))
	require.Equal(t, 50*ms, b.By(Request{Aim: r.Aim}, 0, 50*ms))
	require.Equal(t, every, r.Pause(0, ms))
	require.Equal(t, 20*ms, r.Pause(0, 20*ms))
	require.Equal(t, ms, r.Pause(r.By-ms, ms))
	for range 2 {
		s.Sent()
	}
	require.False(t, b.Ended(s, 0, Served))
	require.True(t, b.Ended(s, 0, Served), "from room for four")
	require.False(t, b.Worth(r, 0), "all are proved")
	b.Add()
	b.Confirm()
	require.False(t, b.Worth(r, 0))
}

// Any server that nothing was heard of is hoped for only while none answers: such a one would have been taken.
func TestOutlook(t *testing.T) {
	answers, silent, dead, busy := New(0), New(0), New(0), New(0)
	for _, s := range []*Server{answers, busy} {
		s.Sent()
		s.Ended(0, Served)
	}
	busy.until, dead.until = time.Hour, time.Hour
	hope := func(lawful bool, servers ...*Server) bool {
		var o Outlook
		for _, s := range servers {
			o.See(s, lawful, 100*ms)
		}
		return o.Hope()
	}
	require.False(t, hope(true))
	require.True(t, hope(true, answers))
	require.True(t, hope(true, nil, answers))
	require.False(t, hope(false, answers))
	require.True(t, hope(true, silent))
	require.False(t, hope(true, dead))
	require.False(t, hope(true, silent, nil), "the proved one would have had it")
	require.False(t, hope(true, silent, busy))
}
