package fleetstore

import (
	"encoding/binary"
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	"go.etcd.io/raft/v3/raftpb"

	"dunestep/internal/fleet/raftlog"
)

var updateGolden = flag.Bool("update", false, "rewrite the golden files")

const goldenFolder = "testdata/golden/voter"

// goldenWrites returns a voter's writes that together contain every part of a Persist: identity, votes, entries, a
// snapshot of its own, and one received from another voter.
func goldenWrites() []*raftlog.Persist {
	entry := func(index, term uint64, data string) *raftpb.Entry {
		return &raftpb.Entry{Index: new(index), Term: new(term), Data: []byte(data)}
	}
	snapshot := func(index, term uint64, data string) *raftpb.Snapshot {
		return &raftpb.Snapshot{Data: []byte(data), Metadata: &raftpb.SnapshotMetadata{
			Index: new(index), Term: new(term), ConfState: &raftpb.ConfState{Voters: []uint64{9, 12}, Learners: []uint64{14}},
		}}
	}
	return []*raftlog.Persist{
		{Reset: true, Identity: &raftlog.Identity{Nonce: 7, Epoch: 8, ID: 9, PromisedNonce: 10, HighestEpochSeen: 11}},
		{HardState: &raftpb.HardState{Term: new(uint64(2)), Vote: new(uint64(12)), Commit: new(uint64(0))}},
		{Entries: []*raftpb.Entry{entry(1, 2, "one"), entry(2, 2, "two"), entry(3, 2, "three")}},
		{
			HardState: &raftpb.HardState{Term: new(uint64(3)), Vote: new(uint64(9)), Commit: new(uint64(2))},
			Entries:   []*raftpb.Entry{entry(3, 3, "another three"), entry(4, 3, "")},
		},
		{DropThrough: 2, Snapshot: snapshot(2, 2, "state after two")},
		{ReplaceEntries: true, Snapshot: snapshot(20, 3, "another voter's"), Entries: []*raftpb.Entry{entry(21, 3, "on")}},
		{Identity: &raftlog.Identity{Nonce: 7, Epoch: 8, ID: 9, PromisedNonce: 13, HighestEpochSeen: 15}, Entries: []*raftpb.Entry{entry(22, 3, "last")}},
	}
}

// The folder in testdata/golden was written by the build of commit 3bec2d9. Its votes, records and snapshot are
// loaded, each record is encoded byte for byte as before, and the store accepts further writes.
func TestGoldenVoterFolder(t *testing.T) {
	if *updateGolden {
		require.NoError(t, os.MkdirAll(goldenFolder, 0o700))
		s, err := Open(goldenFolder)
		require.NoError(t, err)
		for _, p := range goldenWrites() {
			require.NoError(t, s.Write(p))
		}
		require.NoError(t, s.Close())
	}
	path := t.TempDir()
	require.NoError(t, os.CopyFS(path, os.DirFS(goldenFolder)))
	raw, err := os.ReadFile(filepath.Join(path, "fleet.log"))
	require.NoError(t, err)
	for _, name := range []string{"fleet.begun", "fleet.lock"} {
		require.FileExists(t, filepath.Join(path, name))
	}

	s, err := Open(path)
	require.NoError(t, err)
	var want raftlog.Stored
	for _, p := range goldenWrites() {
		applyWrite(&want, p)
	}
	require.Equal(t, uint64(13), s.Stored().Identity.PromisedNonce)
	require.Equal(t, "another voter's", string(s.Stored().Snapshot.GetData()))
	require.Len(t, s.Stored().Entries, 2)
	requireEqualStored(t, want, s.Stored())

	header := binary.BigEndian.AppendUint32([]byte("DSFLEET\n"), 1)
	require.Equal(t, header, raw[:len(header)])
	at := int64(firstRecordOffset)
	for i, p := range goldenWrites() {
		// The first write creates the file, whose first record contains everything stored by then.
		body, found := s.readRecord(raw, at, uint64(i+1))
		require.True(t, found, "record %d", i+1)
		var read *raftlog.Persist
		read, err = decode(body)
		require.NoError(t, err)
		for which, one := range map[string]*raftlog.Persist{"decoded": read, "original": p} {
			again, encodeErr := encode(one)
			require.NoError(t, encodeErr)
			require.Equal(t, body, again, "record %d, %s", i+1, which)
			require.Equal(t, raw[at:at+recordHeaderBytes+int64(len(body))], s.encodeRecord(uint64(i+1), again), "record %d, %s", i+1, which)
		}
		at += recordHeaderBytes + int64(len(body))
	}
	require.Equal(t, s.nextOffset, at)
	require.NoError(t, s.writeCommitMark())
	afterMark, err := os.ReadFile(filepath.Join(path, "fleet.log"))
	require.NoError(t, err)
	require.Equal(t, raw, afterMark, "the commit mark must be written byte for byte as before")

	more := &raftlog.Persist{Entries: []*raftpb.Entry{{Index: new(uint64(23)), Term: new(uint64(3))}}}
	require.NoError(t, s.Write(more))
	require.NoError(t, s.Close())
	s, err = Open(path)
	require.NoError(t, err)
	applyWrite(&want, more)
	requireEqualStored(t, want, s.Stored())
	require.NoError(t, s.Close())
}
