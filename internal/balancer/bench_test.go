package balancer

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// BenchmarkDecision measures a request and the end of its attempt with 13 servers, without failures and with one
// attempt in twelve failing.
func BenchmarkDecision(b *testing.B) {
	for _, failEvery := range []int{0, 12} {
		b.Run(fmt.Sprintf("one in %d lost", failEvery), func(b *testing.B) {
			bal, err := New(testSettings(), 1)
			if err != nil {
				b.Fatal(err)
			}
			bal.Step(0, &ServerListUpdate{Kind: UpdateFull, Servers: serverList(13)})
			keys := make([]string, 1000)
			for i := range keys {
				keys[i] = fmt.Sprint("key-", i)
			}
			now := time.Duration(0)
			var sent [4]Action // up to four attempts are in flight
			b.ReportAllocs()
			for i := range b.N {
				now += 3 * ms
				if i%333 == 0 {
					bal.Step(now, &TimerDue{Tag: timerRound})
				}
				if old := sent[i%4]; old.Kind == Send && old.ID > 0 {
					outcome := Served
					if failEvery > 0 && i%failEvery == 0 {
						outcome = ConnectionLost
					}
					bal.Step(now, &AttemptDone{
						ID: old.ID, Server: old.Server, Outcome: outcome, Latency: 12 * ms,
						RequestDone: true,
					})
				}
				acts := bal.Step(now, &Request{ID: uint32(i + 1), Class: "unsafe", Key: keys[i*7%1000], ClientTimeout: time.Second})
				sent[i%4] = acts[len(acts)-1]
			}
		})
	}
}

// BenchmarkDecisionWithExclusions measures the same without failures, and with no keys, half of the keys or all of them
// excluded from one of the 13 servers.
func BenchmarkDecisionWithExclusions(b *testing.B) {
	for name, below := range map[string]uint32{"none": 0, "half": 1 << 31, "all": math.MaxUint32} {
		b.Run(name, func(b *testing.B) {
			bal, err := New(testSettings(), 1)
			if err != nil {
				b.Fatal(err)
			}
			bal.Step(0, &ServerListUpdate{Kind: UpdateFull, Servers: serverList(13)})
			if below > 0 {
				bal.SetExclusions(&Exclusions{Tenants: map[string]map[string]uint32{NoTenant: {"s0": below}}})
			}
			keys := make([]string, 1000)
			for i := range keys {
				keys[i] = fmt.Sprint("key-", i)
			}
			now := time.Duration(0)
			b.ReportAllocs()
			for i := range b.N {
				now += 3 * ms
				if i%333 == 0 {
					bal.Step(now, &TimerDue{Tag: timerRound})
				}
				id := uint32(i + 1)
				acts := bal.Step(now, &Request{ID: id, Class: "unsafe", Key: keys[i*7%1000], ClientTimeout: time.Second})
				bal.Step(now, &AttemptDone{ID: id, Server: acts[len(acts)-1].Server, Outcome: Served, Latency: 12 * ms, RequestDone: true})
			}
		})
	}
}

// BenchmarkListChange measures a change of the server list: a server with a new id joins and the one that joined before
// it leaves. Gone servers are forgotten 64 at a time.
func BenchmarkListChange(b *testing.B) {
	for _, n := range []int{13, 1000, 5000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			bal, err := New(testSettings(), 1)
			if err != nil {
				b.Fatal(err)
			}
			bal.Step(0, &ServerListUpdate{Kind: UpdateFull, Servers: serverList(n)})
			now, last := time.Second, serverList(1)[0]
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				joins := Server{ID: fmt.Sprint("new", i), Zone: "z0", Weight: 1, StartedAt: now}
				last.State = Gone
				bal.Step(now, &ServerListUpdate{Kind: UpdateIncremental, Servers: []Server{joins}})
				bal.Step(now, &ServerListUpdate{Kind: UpdateIncremental, Servers: []Server{last}})
				last = joins
				if i%64 == 63 {
					now += 2 * forgetAfter
					bal.now = now
					bal.forgetGoneServers()
				}
			}
		})
	}
}
