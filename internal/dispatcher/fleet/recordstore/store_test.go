package recordstore

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"os"
	"testing"

	"basaltloft/internal/dispatcher/fleet/records"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
)

// openStore opens a store in a temporary directory and closes it after the test.
func openStore(t testing.TB) *Store {
	s, err := Open(t.TempDir())
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, s.Close()) })
	return s
}

// fill ships n records of three tenants, with equal times, repeated ids and names of tenants
// that are prefixes of each other.
func fill(t testing.TB, s *Store, st *records.State, n int) {
	c := records.Ship{Process: "n1", Epoch: 1, FirstSeq: 1}
	for i := range n {
		c.Records = append(c.Records, records.Record{
			ID: fmt.Sprint("j", i%50), Tenant: []string{"h", "hr", "hrad"}[i%3], Outcome: []string{"served", "failed"}[i%2], Ended: int64(1000 - i/4),
		})
	}
	require.NoError(t, s.Update(7, func(in records.Store) error {
		_, err := st.Ship(0, in, c)
		return err
	}))
}

// served returns all that a store serves, and checks the store with Audit.
func served(t testing.TB, s *Store, st *records.State) (all []records.Record) {
	require.NoError(t, s.View(func(in records.Reader) error {
		for _, name := range st.Tenants() {
			for _, descending := range []bool{false, true} {
				for q := (records.Query{Tenant: name, Limit: 7, Descending: descending}); ; {
					p, err := st.View().Page(in, q)
					require.NoError(t, err)
					all = append(all, p.Records...)
					if q.Cursor = p.Next; q.Cursor == "" {
						break
					}
				}
			}
		}
		found, err := st.View().ByID(in, "j8", 100)
		all = append(all, found...)
		wrong, err2 := st.Audit(in)
		require.NoError(t, err2)
		require.Empty(t, wrong)
		return err
	}))
	return all
}

// TestSnapshots checks that a store restored from a snapshot serves the same records, and
// that an invalid snapshot is refused.
func TestSnapshots(t *testing.T) { //nolint:funlen // one scenario, to be read from top to bottom
	s, st := openStore(t), records.New()
	fill(t, s, st, 300)
	want := served(t, s, st)
	require.Len(t, want, 606)
	state, err := st.Encode()
	require.NoError(t, err)
	snap, err := s.Snapshot(state)
	require.NoError(t, err)
	// Later changes of the store are not in the snapshot.
	require.NoError(t, st.SetRules(0, records.SetRules{Rules: []records.Rule{{Tenant: records.DefaultRuleTenant, Keep: records.Limits{MaxCount: 1}}}}))
	require.NoError(t, s.Update(9, func(in records.Store) error {
		c, needed, err := st.PlanPrune(in, 0, 1000)
		require.True(t, needed)
		require.NoError(t, err)
		done, err := st.Prune(0, in, c)
		require.Equal(t, 147, done.Removed)
		return err
	}))
	require.Len(t, served(t, s, st), 2*153)
	var text bytes.Buffer
	n, err := snap.WriteTo(&text)
	require.NoError(t, err)
	require.EqualValues(t, text.Len(), n)
	snap.Release()

	other, fresh := openStore(t), records.New()
	snapshot := text.Bytes()
	_, _, err = other.Restore(bytes.NewReader(snapshot))
	require.NoError(t, err)
	fill(t, s, st, 1)
	// A truncated, damaged, foreign or newer snapshot is refused, and the store is unchanged.
	newer := bytes.Clone(snapshot)
	newer[8]++
	bad := map[string][]byte{"newer, its checksum wrong": newer, "foreign": []byte("SQLite format 3"), "longer": append(bytes.Clone(snapshot), 0), "empty": nil}
	for i := 0; i < len(snapshot); i += 1 + len(snapshot)/60 {
		changed := bytes.Clone(snapshot)
		changed[i] ^= 1
		bad[fmt.Sprint("truncated at ", i)], bad[fmt.Sprint("changed at ", i)] = snapshot[:i], changed
	}
	for name, text := range bad {
		_, _, err := other.Restore(bytes.NewReader(text))
		require.ErrorIs(t, err, ErrSnapshot, name)
		index, err := other.Index()
		require.NoError(t, err, name)
		require.EqualValues(t, 7, index, name)
		require.NoFileExists(t, other.path(incomingFile))
	}
	copy(newer[headerSize-8:], binary.LittleEndian.AppendUint64(nil, xxhash.Sum64(newer[:headerSize-8])))
	_, _, err = other.Restore(bytes.NewReader(newer))
	require.ErrorIs(t, err, ErrNewerVersion)
	require.NoError(t, fresh.Decode(state))
	require.Equal(t, want, served(t, other, fresh))

	// An open read continues during a restore.
	require.NoError(t, other.View(func(in records.Reader) error {
		_, index, err := other.Restore(bytes.NewReader(snapshot))
		require.NoError(t, err)
		require.EqualValues(t, 7, index)
		found, err := fresh.View().ByID(in, "j8", 100)
		require.Len(t, found, 6)
		return err
	}))
}

// TestFolder checks what a directory keeps from one run to the next, the lock, a failed
// Update, and the fence.
func TestFolder(t *testing.T) {
	folder := t.TempDir()
	s, err := Open(folder)
	require.NoError(t, err)
	st := records.New()
	fill(t, s, st, 10)
	_, err = Open(folder)
	require.ErrorIs(t, err, ErrInUse)
	failed := fmt.Errorf("no")
	require.ErrorIs(t, s.Update(8, func(in records.Store) error {
		require.NoError(t, in.Put(&records.Record{Tenant: "h"}, nil))
		return failed
	}), failed)
	require.Len(t, served(t, s, st), 21)
	require.NoError(t, s.Close())
	_, err = s.Index()
	require.ErrorIs(t, err, ErrClosed)
	s, err = Open(folder)
	require.NoError(t, err)
	defer func() { _ = s.Close() }()
	index, err := s.Index()
	require.NoError(t, err)
	require.Zero(t, index)

	f := records.Fence{Edition: 3, Watermarks: []records.Watermark{{Tenant: "h", Class: 1, Position: records.Position{Ended: 5, Process: "n1"}}}}
	got, err := LoadFence(folder, "f1")
	require.NoError(t, err)
	require.Zero(t, got)
	require.NoError(t, SaveFence(folder, "f1", f))
	got, err = LoadFence(folder, "f1")
	require.NoError(t, err)
	require.Equal(t, f, got)
	_, err = LoadFence(folder, "f2")
	require.ErrorIs(t, err, ErrFleet)
	text, err := os.ReadFile(folder + "/fence")
	require.NoError(t, err)
	text[3]++
	require.NoError(t, os.WriteFile(folder+"/fence", text, 0o640))
	_, err = LoadFence(folder, "f1")
	require.ErrorIs(t, err, ErrSnapshot)
}
