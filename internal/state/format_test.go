package state

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"dunestep/internal/balancer"
	"dunestep/internal/balancer/outlier"
	"dunestep/internal/overload"
	"dunestep/internal/protocol"
	"dunestep/internal/routing"
)

var owner = Owner{Deployment: "d", Agent: "n0"}

// sampleFile returns the file of an agent with n servers in its endpoint list.
func sampleFile(n int) *File {
	config := protocol.EndpointList{Version: 41, Full: true}
	m := balancer.Snapshot{MeanLatency: 0.0517342, SendRate: 43.1234}
	for i := range n {
		s := balancer.Server{
			ID: fmt.Sprintf("s-%08x", i*2654435761), Zone: "buc-pipera", MachineKind: "rapid", Cell: i / 4,
			Weight: 1.25, StartedAt: time.Duration(1_760_000_000_000+i) * time.Millisecond, State: balancer.ServerState(i % 2),
		}
		config.Endpoints = append(config.Endpoints, protocol.Endpoint{
			Server: s,
			Addr:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 9000),
		})
		m.Servers = append(m.Servers, balancer.ServerSnapshot{
			ID: s.ID, StartedAt: s.StartedAt, Latency: 0.01 * float64(i+1) / 3,
			LatencyInFlight: 3.3 / float64(i+1), SampledAgo: time.Duration(i+1) * 1234567, FlapPenalty: 0.7123 / float64(i+1),
			Outlier: outlier.Snapshot{
				RecentAttempts: 12.345, Ejected: i%5 == 0, Silent: true, ProbesRequired: 1,
				Reason: "6 of 6 unanswered, usual 2%", RecentByCause: make([]float64, 9),
			},
		})
	}
	return &File{
		Format: currentFormat, Header: Header{Owner: owner, WrittenMS: 1_796_115_624_558, Generation: 7},
		Content: Content{
			List: NewStoredList(config, 1_796_115_624_000), Balancer: &m,
			IdleConnections: &routing.IdleSnapshot{Buckets: []routing.IdleBucket{{Index: 3, Used: 1.5, Lost: 0.25}}, SinceDecay: time.Second},
			Overload: &overload.Snapshot{Kinds: []overload.KindSnapshot{{Name: "rapid", Buckets: []overload.ServiceTimeSnapshot{{
				Step: 3, LogSeconds: -2.5,
				Samples: 70,
			}}}}, InFlight: 1.5, Servers: 13, NoSheddingFor: time.Second},
		},
	}
}

// Decode returns an error and no file for any changed byte, for any truncation, and for trailing bytes.
func TestEveryDamageIsDetected(t *testing.T) {
	raw, err := Encode(sampleFile(5))
	require.NoError(t, err)
	decoded, err := Decode(raw)
	require.NoError(t, err)
	require.Equal(t, sampleFile(5), decoded)
	old, err := os.ReadFile("testdata/format-1.state")
	require.NoError(t, err)
	for _, raw := range [][]byte{raw, old} {
		for i := range raw {
			for change := 1; change < 256; change++ {
				raw[i] ^= byte(change)
				f, decodeErr := Decode(raw)
				require.True(t, f == nil && decodeErr != nil, "byte %d changed by %02x", i, change)
				raw[i] ^= byte(change)
			}
			f, decodeErr := Decode(raw[:i])
			require.True(t, f == nil && decodeErr != nil, "cut at %d", i)
		}
		for _, more := range []string{"\x00", "\n", string(raw)} {
			_, err = Decode(append(raw[:len(raw):len(raw)], more...))
			require.ErrorIs(t, err, ErrDamaged)
		}
	}
}

// A format 1 file is decoded completely and encoded in the current format.
func TestFormat1IsRead(t *testing.T) {
	raw, err := os.ReadFile("testdata/format-1.state")
	require.NoError(t, err)
	f, err := Decode(raw)
	require.NoError(t, err)
	require.Equal(t, 1, f.Format)
	require.Equal(t, Header{Owner: Owner{"carpatica-programari", "n3"}, WrittenMS: 1796115624558}, f.Header)
	config, err := f.List.EndpointList()
	require.NoError(t, err)
	require.Equal(t, int64(41), config.Version)
	require.Equal(t, "s-3 10.1.0.13:9000", config.Endpoints[3].ID+" "+config.Endpoints[3].Addr.String())
	require.Len(t, f.Balancer.Servers, 4)
	require.True(t, f.Balancer.Servers[1].Outlier.Ejected)
	require.InDelta(t, 0.05537775699135778, f.Balancer.MeanLatency, 0)
	require.InDelta(t, 392.0, f.Balancer.Kinds[0].BaselineLatency.Samples, 0)

	again, err := Encode(f)
	require.NoError(t, err)
	g, err := Decode(again)
	require.NoError(t, err)
	require.Equal(t, f.Content, g.Content)
	require.Equal(t, currentFormat, g.Format)
}

// buildRawFile returns a file's bytes: header and content, with a matching fixed part and checksum.
func buildRawFile(version int, header, content []byte) []byte {
	raw := binary.BigEndian.AppendUint16([]byte(magic), uint16(version))
	raw = binary.BigEndian.AppendUint16(raw, uint16(len(header)))
	raw = binary.BigEndian.AppendUint32(raw, uint32(len(content)))
	if version > 1 {
		raw = binary.BigEndian.AppendUint64(raw, 1)
	}
	raw = append(append(raw, header...), content...)
	return binary.BigEndian.AppendUint32(raw, crc32.Checksum(raw, castagnoli))
}

func TestUnknownVersionsAreRefusedOrSkipped(t *testing.T) {
	header, err := encoding.Marshal(Header{Owner: owner})
	require.NoError(t, err)
	_, err = Decode(buildRawFile(3, header, nil))
	require.ErrorIs(t, err, ErrNewer)
	_, err = Decode(buildRawFile(0, header, nil))
	require.ErrorIs(t, err, ErrDamaged)
	_, err = Decode([]byte("#!/bin/sh\necho some other file here\n"))
	require.ErrorIs(t, err, ErrNotAStateFile)

	// A section of a later version or of an unknown key is skipped; the others are decoded.
	list, err := encoding.Marshal(StoredList{Version: 9})
	require.NoError(t, err)
	content, err := encoding.Marshal(map[int]any{1: []any{1, cbor.RawMessage(list)}, 2: []any{99, "?"}, 77: []any{1, 2}})
	require.NoError(t, err)
	f, err := Decode(buildRawFile(2, header, content))
	require.NoError(t, err)
	require.Equal(t, int64(9), f.List.Version)
	require.Nil(t, f.Balancer)
	require.Nil(t, f.Overload)
	require.Len(t, f.SkippedSections, 1)
	require.Contains(t, f.SkippedSections[0], "module: version 99")
}

// Decode either rejects a file with arbitrary header and content, or returns values that the agent can restore.
func FuzzDecode(f *testing.F) {
	for version, raw := range map[int][]byte{1: must(os.ReadFile("testdata/format-1.state")), 2: must(Encode(sampleFile(3)))} {
		headerStart := map[int]int{1: fixedBytesFormat1, 2: fixedBytes}[version]
		headerEnd := headerStart + int(binary.BigEndian.Uint16(raw[10:]))
		f.Add(uint8(version), raw[headerStart:headerEnd], raw[headerEnd:len(raw)-checksumBytes])
	}
	settings := balancer.Settings{
		Tick: time.Millisecond, Balancers: 3, Classes: []balancer.Class{{Name: "consult", Deadline: time.Second}},
		Tenants: []balancer.Tenant{{Name: "acme", QuotaPerSecond: 10}}, Limits: balancer.Limits{MaxAttempts: 2},
		Rules: balancer.Rules{SlowStartDuration: time.Second, OverloadWindow: time.Second, OverloadMultiple: 3},
	}
	f.Fuzz(func(t *testing.T, version uint8, header, content []byte) {
		file, err := Decode(buildRawFile(int(version), header, content))
		if err != nil {
			return
		}
		if _, err := Encode(file); err != nil {
			t.Fatal(err)
		}
		now := time.Duration(time.Now().UnixNano())
		b, _ := balancer.New(settings, 1)
		gate, _ := overload.New(settings, overload.Config{}, b, 1)
		if file.List != nil {
			config, err := file.List.EndpointList()
			if err != nil {
				return
			}
			var servers []balancer.Server
			for _, s := range config.Endpoints {
				servers = append(servers, s.Server)
			}
			gate.Step(now, &balancer.ServerListUpdate{Kind: balancer.UpdateCached, Servers: servers})
		}
		if file.Balancer != nil {
			b.Restore(now, *file.Balancer, file.Age(time.Now()))
		}
		if file.Overload != nil {
			gate.Restore(now, *file.Overload, file.Age(time.Now()))
		}
		if file.IdleConnections != nil {
			idleLimit := routing.NewIdleLimit(now, 15*time.Second)
			idleLimit.Restore(*file.IdleConnections, file.Age(time.Now()))
			if idleLimit.Limit() < 0 || idleLimit.Limit() > 15*time.Second {
				t.Fatal(idleLimit.Limit())
			}
		}
		for id := range uint32(20) {
			now += 100 * time.Millisecond
			for _, a := range gate.Step(now, &balancer.Request{ID: id, Class: "consult", Key: "k", ClientTimeout: time.Second}) {
				if a.Kind == balancer.Send {
					gate.Step(now, &balancer.AttemptDone{ID: id, Server: a.Server, Outcome: balancer.Served, Latency: 1e6, RequestDone: true})
					break
				}
			}
			b.Step(now, &balancer.TimerDue{})
		}
		b.Snapshot(now)
	})
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// A file with every field set for 1000 servers is smaller than 256 KiB.
func TestEncodedSizeOfThousandServers(t *testing.T) {
	raw, err := Encode(sampleFile(1000))
	require.NoError(t, err)
	require.Less(t, len(raw), 256<<10)
	t.Log(len(raw), "bytes")
	_, err = Encode(sampleFile(60000))
	require.ErrorIs(t, err, ErrTooLong)
}

func BenchmarkEncode(b *testing.B) {
	f := sampleFile(1000)
	for b.Loop() {
		_, _ = Encode(f)
	}
}

func BenchmarkDecode(b *testing.B) {
	raw, _ := Encode(sampleFile(1000))
	for b.Loop() {
		f, err := Decode(raw)
		if err != nil {
			b.Fatal(err)
		}
		if _, err = NewInitial(protocol.EndpointList{}, f, time.Now()); err != nil {
			b.Fatal(err)
		}
	}
}
