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

var updateGolden = flag.Bool("update", false, "rewrite the files under testdata/golden")

// golden returns the content of a golden file. With -update it first writes the encoded data to the file.
func golden(t *testing.T, name string, encoded []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	if *updateGolden {
		require.NoError(t, os.WriteFile(path, encoded, 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	return want
}

// reencode decodes a peer message and encodes the result; nil: the message is invalid.
func reencode(data []byte) []byte {
	m := decodePeerMessage(data)
	switch m.kind {
	case messageDampRequest, messageDampResponse:
		return encodeDampMessage(m.kind, &server{hash: m.hash, flapPenalty: m.penalty}, 0)
	case messageArrivalRate:
		return encodeRateMessage(m.rate)
	}
	return nil
}

// Each line of the golden file is a name and a message in hexadecimal digits.
func TestGoldenPeerMessages(t *testing.T) {
	var encoded bytes.Buffer
	add := func(name string, data []byte) { fmt.Fprintf(&encoded, "%s %x\n", name, data) }
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
	want := golden(t, "peer_messages.txt", encoded.Bytes())
	require.Equal(t, string(want), encoded.String())

	lines := bufio.NewScanner(bytes.NewReader(want))
	count := 0
	for ; lines.Scan(); count++ {
		name, digits, _ := strings.Cut(lines.Text(), " ")
		t.Run(name, func(t *testing.T) {
			data, err := hex.DecodeString(digits)
			require.NoError(t, err)
			require.Equal(t, data, reencode(data))
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
			require.Nil(t, reencode(data))
		})
	}
}

// fillValue sets each field, in order, to a different value. It adds one to n for each value.
func fillValue(v reflect.Value, n *int) {
	switch *n++; v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			fillValue(v.Field(i), n)
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		fallthrough
	case reflect.Array:
		for i := range v.Len() {
			fillValue(v.Index(i), n)
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
		panic("fillValue does not support values of type " + v.Type().String())
	}
}

// filledSnapshot returns a Snapshot with each field set, including those of version 1.
func filledSnapshot() (m Snapshot) {
	n := 0
	fillValue(reflect.ValueOf(&m).Elem(), &n)
	return m
}

// stateEncoding returns the CBOR encoding of the state folder.
func stateEncoding(t *testing.T) cbor.EncMode {
	enc, err := cbor.EncOptions{
		Sort: cbor.SortCoreDeterministic, ShortestFloat: cbor.ShortestFloat16,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
	}.EncMode()
	require.NoError(t, err)
	return enc
}

// Checks the stored form of a Snapshot: each field keeps its number.
func TestGoldenSnapshotCBOR(t *testing.T) {
	for name, m := range map[string]Snapshot{"memory_full.cbor.hex": filledSnapshot(), "memory_empty.cbor.hex": {}} {
		t.Run(name, func(t *testing.T) {
			encoded, err := stateEncoding(t).Marshal(m)
			require.NoError(t, err)
			text := golden(t, name, []byte(hex.EncodeToString(encoded)+"\n"))
			want, err := hex.DecodeString(strings.TrimSpace(string(text)))
			require.NoError(t, err)
			require.Equal(t, want, encoded)
			var read Snapshot
			require.NoError(t, cbor.Unmarshal(want, &read))
			require.Equal(t, m, read)
			again, err := stateEncoding(t).Marshal(read)
			require.NoError(t, err)
			require.Equal(t, want, again)
		})
	}
}

// Checks the stored form of a Snapshot of version 1 after its migration to the current version.
func TestGoldenSnapshotFromVersion1(t *testing.T) {
	m := filledSnapshot()
	m.MigrateFromVersion1()
	encoded, err := stateEncoding(t).Marshal(m)
	require.NoError(t, err)
	text := golden(t, "memory_from_version_1.cbor.hex", []byte(hex.EncodeToString(encoded)+"\n"))
	require.Equal(t, strings.TrimSpace(string(text)), hex.EncodeToString(encoded))
	require.Equal(t, 2, SnapshotVersion)
}

// Checks the JSON form in which a Snapshot is printed.
func TestGoldenSnapshotJSON(t *testing.T) {
	encoded, err := json.MarshalIndent(filledSnapshot(), "", "\t")
	require.NoError(t, err)
	encoded = append(encoded, '\n')
	require.Equal(t, string(golden(t, "memory_full.json", encoded)), string(encoded))
}
