package balancer

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

var updateGolden = flag.Bool("update", false, "write the files under testdata/golden anew")

// golden returns the file's content; with -update it writes what was made instead.
func golden(t *testing.T, name string, made []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	if *updateGolden {
		require.NoError(t, os.WriteFile(path, made, 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	return want
}

// encodeAgain decodes a peer message and encodes what was read.
func encodeAgain(data []byte) []byte {
	m := decodePeerMessage(data)
	switch m.kind {
	case messageDampRequest, messageDampResponse:
		return encodeDampMessage(m.kind, &server{hash: m.hash, flapPenalty: m.penalty}, 0)
	case messageArrivalRate:
		return encodeRateMessage(m.rate)
	}
	return nil
}

// Each line of the file is a name and a message in hexadecimal digits.
func TestGoldenPeerMessages(t *testing.T) {
	var made bytes.Buffer
	add := func(name string, data []byte) { fmt.Fprintf(&made, "%s %x\n", name, data) }
	for _, hash := range []uint32{0, 0x01020304, 0xfedcba98, math.MaxUint32} {
		for _, penalty := range []float64{0, 0.1, 1, 2.5, 25.5} {
			s := &server{hash: hash, flapPenalty: penalty}
			add(fmt.Sprintf("damping-request-%08x-%.1f", hash, penalty), encodeDampMessage(messageDampRequest, s, 0))
			add(fmt.Sprintf("damping-response-%08x-%.1f", hash, penalty), encodeDampMessage(messageDampResponse, s, 0))
		}
	}
	add("damping-response-faded-by-half", encodeDampMessage(messageDampResponse, &server{hash: 7, flapPenalty: 5}, 10*time.Second))
	add("damping-response-above-the-range", encodeDampMessage(messageDampResponse, &server{hash: 7, flapPenalty: 300}, 0))
	for _, rate := range []float64{0, 0.5, 1, 33.25, 1e6, 999_999_936} {
		add(fmt.Sprintf("arrival-rate-%v", rate), encodeRateMessage(rate))
	}
	want := golden(t, "peer_messages.txt", made.Bytes())
	require.Equal(t, string(want), made.String())

	lines := bufio.NewScanner(bytes.NewReader(want))
	count := 0
	for ; lines.Scan(); count++ {
		name, digits, _ := strings.Cut(lines.Text(), " ")
		t.Run(name, func(t *testing.T) {
			data, err := hex.DecodeString(digits)
			require.NoError(t, err)
			require.Equal(t, data, encodeAgain(data))
		})
	}
	require.Equal(t, 48, count)
}

func TestGoldenInvalidPeerMessages(t *testing.T) {
	for name, digits := range map[string]string{
		"empty":                       "",
		"unknown letter":              "780000000005",
		"damping request, too short":  "7101020304",
		"damping request, too long":   "71010203040500",
		"damping response, too short": "7201020304",
		"arrival rate, too short":     "61000000",
		"arrival rate, too long":      "610000000000",
		"arrival rate, not a number":  "617fc00000",
		"arrival rate, negative":      "61bf800000",
		"arrival rate, infinite":      "617f800000",
		"arrival rate, a billion":     "614e6e6b28",
	} {
		t.Run(name, func(t *testing.T) {
			data, err := hex.DecodeString(digits)
			require.NoError(t, err)
			require.Nil(t, encodeAgain(data))
		})
	}
}

// fill sets each field, in order, to another value.
func fill(v reflect.Value, n *int) {
	switch *n++; v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			fill(v.Field(i), n)
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		fallthrough
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i), n)
		}
	case reflect.Float64:
		v.SetFloat(float64(*n) + 1.0/3)
	case reflect.Int, reflect.Int64:
		v.SetInt(int64(*n) * 1001)
	case reflect.Uint32:
		v.SetUint(uint64(*n) * 1_000_003)
	case reflect.Bool:
		v.SetBool(true)
	case reflect.String:
		v.SetString(fmt.Sprint("name-", *n))
	default:
		panic("a kind that the memory did not have: " + v.Type().String())
	}
}

// filled has each field set, those of older versions too.
func filled() (m Snapshot) {
	n := 0
	fill(reflect.ValueOf(&m).Elem(), &n)
	return m
}

// stored is the codec of the state folder.
func stored(t *testing.T) cbor.EncMode {
	enc, err := cbor.EncOptions{
		Sort: cbor.SortCoreDeterministic, ShortestFloat: cbor.ShortestFloat16,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
	}.EncMode()
	require.NoError(t, err)
	return enc
}

// What is kept over a restart: each field under its number.
func TestGoldenMemoryStored(t *testing.T) {
	for name, m := range map[string]Snapshot{"memory_full.cbor.hex": filled(), "memory_empty.cbor.hex": {}} {
		t.Run(name, func(t *testing.T) {
			made, err := stored(t).Marshal(m)
			require.NoError(t, err)
			text := golden(t, name, []byte(hex.EncodeToString(made)+"\n"))
			want, err := hex.DecodeString(strings.TrimSpace(string(text)))
			require.NoError(t, err)
			require.Equal(t, want, made)
			var read Snapshot
			require.NoError(t, cbor.Unmarshal(want, &read))
			require.Equal(t, m, read)
			again, err := stored(t).Marshal(read)
			require.NoError(t, err)
			require.Equal(t, want, again)
		})
	}
}

// DedupWindow of the version before, as it is after it was read and brought to the present version.
func TestGoldenMemoryVersion1(t *testing.T) {
	m := filled()
	m.MigrateFromVersion1()
	made, err := stored(t).Marshal(m)
	require.NoError(t, err)
	text := golden(t, "memory_from_version_1.cbor.hex", []byte(hex.EncodeToString(made)+"\n"))
	require.Equal(t, strings.TrimSpace(string(text)), hex.EncodeToString(made))
	require.Equal(t, 2, SnapshotVersion)
}

// How it is printed.
func TestGoldenMemoryPrinted(t *testing.T) {
	made, err := json.MarshalIndent(filled(), "", "\t")
	require.NoError(t, err)
	made = append(made, '\n')
	require.Equal(t, string(golden(t, "memory_full.json", made)), string(made))
}
