package state

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/fleet/codec"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// tally is a partition that counts commands by process. Went lists the settings that were set
// and the incarnations that ended.
type tally struct {
	Count map[string]int
	Went  []string
	At    time.Duration
}

func newTally() *tally { return &tally{Count: map[string]int{}} }

func (t *tally) Name() string { return "tally" }
func (t *tally) Apply(c Command, _ uint64) ([]byte, error) {
	if c.Kind == "tally/no" {
		return nil, errors.New("no")
	}
	t.Count[c.Process]++
	return binary.BigEndian.AppendUint32(nil, uint32(t.Count[c.Process])), nil
}
func (t *tally) Check(settings []byte) error {
	if string(settings) == "bad" {
		return errors.New("bad settings")
	}
	return nil
}
func (t *tally) Set(_ time.Duration, settings []byte) error {
	t.Went = append(t.Went, string(settings))
	return nil
}
func (t *tally) Renew(_ Command, body []byte) ([]byte, error) { return body, nil }
func (t *tally) IncarnationEnded(at time.Duration, process string, incarnation uint64, cause EndCause) {
	t.Went = append(t.Went, fmt.Sprintf("%s %d %d %s", process, incarnation, cause, at))
}
func (t *tally) Advance(at time.Duration) { t.At = at }
func (t *tally) Snapshot() (Snapshot, error) {
	text, err := codec.Encode(t)
	return Snapshot{Write: func(w io.Writer) error { _, err := w.Write(text); return err }}, err
}
func (t *tally) Restore(r io.Reader) error {
	text, err := io.ReadAll(r)
	if err != nil {
		return err
	}
	next := tally{}
	if err := codec.Decode(text, &next); err != nil {
		return err
	}
	*t = next
	return nil
}
func (t *tally) Digest() (uint64, error) {
	text, err := codec.Encode(t)
	return codec.Digest(text), err
}

const lease = DefaultLease

type log struct {
	t       require.TestingT
	m       *Machine
	part    *tally
	index   uint64
	entries [][]byte
}

func newLog(t require.TestingT) *log {
	part := newTally()
	return &log{t: t, m: New(part), part: part}
}

func (l *log) apply(c Command, body any) Reply {
	c.Version = Version
	if body != nil {
		text, err := codec.Encode(body)
		require.NoError(l.t, err)
		c.Body = text
	}
	text, err := codec.Encode(c)
	require.NoError(l.t, err)
	l.index++
	l.entries = append(l.entries, text)
	return l.m.Apply(l.index, text)
}

func (l *log) join(at time.Duration, process, nonce string) uint64 {
	r := l.apply(Command{At: at, Kind: Join}, JoinBody{Process: process, Nonce: nonce})
	require.NoError(l.t, r.Err())
	var j JoinReply
	require.NoError(l.t, codec.Decode(r.Body, &j))
	return j.Incarnation
}

func TestFencing(t *testing.T) {
	l := newLog(t)
	first := l.join(0, "n1", "a")
	require.Equal(t, first, l.join(time.Second, "n1", "a"), "a join that is repeated because its reply was lost")
	do := func(at time.Duration, inc uint64) error {
		return l.apply(Command{At: at, Process: "n1", Incarnation: inc, Kind: "tally/one"}, nil).Err()
	}
	require.NoError(t, do(time.Second, first))
	second := l.join(2*time.Second, "n1", "b")
	require.Greater(t, second, first)
	require.ErrorIs(t, do(2*time.Second, first), ErrFenced, "the older incarnation: its process was stopped and resumed")
	require.NoError(t, do(2*time.Second, second))
	require.NoError(t, do(2*time.Second+lease-1, second))
	require.ErrorIs(t, do(2*time.Second+lease, second), ErrFenced, "its lease has expired")
	require.Equal(t, []string{"n1 1 2 2s", "n1 4 0 5s"}, l.part.Went)
	require.ErrorIs(t, l.apply(Command{Kind: "other/one"}, nil).Err(), ErrFenced)
	third := l.join(6*time.Second, "n1", "c")
	require.ErrorIs(t, l.apply(Command{At: 1, Process: "n1", Incarnation: third, Kind: "other/one"}, nil).Err(), ErrBad)
	require.Equal(t, 6*time.Second, l.m.At(), "time does not run backward")
	require.NoError(t, l.apply(Command{Process: "n1", Incarnation: third, Kind: Leave}, nil).Err())
	require.Empty(t, l.m.Members())
	require.ErrorIs(t, l.m.Apply(99, []byte{1, 2}).Err(), ErrBad)
}

// TestCommandsApplyOnceAtEveryReplica checks that each command takes effect once, whatever
// copies of it arrive and in whatever order, and that a replica that was restored from a
// snapshot and the rest of the log has the same digests. A truncated or corrupt snapshot is
// refused.
func TestCommandsApplyOnceAtEveryReplica(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLog(t)
		inc := map[string]uint64{"n1": l.join(0, "n1", "x"), "n2": l.join(0, "n2", "y")}
		replies, acked := map[string]map[uint64]Reply{"n1": {}, "n2": {}}, map[string]uint64{}
		at, cut := time.Duration(0), rapid.IntRange(3, 30).Draw(t, "cut")
		var snapshot bytes.Buffer
		for range 40 {
			at += time.Duration(rapid.IntRange(0, 60).Draw(t, "dt")) * time.Millisecond
			process := rapid.SampledFrom([]string{"n1", "n2"}).Draw(t, "who")
			seq := acked[process] + uint64(rapid.IntRange(1, 6).Draw(t, "seq")) // out of order, and repeated
			kind := rapid.SampledFrom([]Kind{"tally/one", "tally/one", "tally/no"}).Draw(t, "kind")
			r := l.apply(Command{At: at, Process: process, Incarnation: inc[process], Seq: seq, Acked: acked[process], Kind: kind}, nil)
			if old, again := replies[process][seq]; again {
				require.Equal(t, old, r, "a copy gets the first reply")
			}
			replies[process][seq] = r
			for replies[process][acked[process]+1].Body != nil || replies[process][acked[process]+1].Code != OK {
				acked[process]++
			}
			if len(l.entries) == cut {
				now, err := l.m.Snapshot()
				require.NoError(t, err)
				require.NoError(t, now.Write(&snapshot))
			}
		}
		for process, all := range replies {
			n := 0
			for _, r := range all {
				if r.Code == OK {
					n++
				}
			}
			require.Equal(t, n, l.part.Count[process])
		}
		other := New(newTally())
		require.NoError(t, other.Restore(bytes.NewReader(snapshot.Bytes())))
		for i := cut; i < len(l.entries); i++ {
			other.Apply(uint64(i+1), l.entries[i])
		}
		a, err := l.m.Digests()
		require.NoError(t, err)
		b, err := other.Digests()
		require.NoError(t, err)
		require.Equal(t, a, b)
		truncated := snapshot.Bytes()[:rapid.IntRange(0, snapshot.Len()-1).Draw(t, "torn")]
		require.ErrorIs(t, New(newTally()).Restore(bytes.NewReader(truncated)), ErrInvalidSnapshot)
		flipped := bytes.Clone(snapshot.Bytes())
		flipped[rapid.IntRange(0, len(flipped)-1).Draw(t, "at")] ^= 0x10
		require.Error(t, New(newTally()).Restore(bytes.NewReader(flipped)))
	})
}

func TestSettings(t *testing.T) {
	l := newLog(t)
	inc := l.join(0, "n1", "a")
	set := func(b FleetSettings) string {
		return l.apply(Command{Process: "n1", Incarnation: inc, Kind: SetSettings}, b).Text
	}
	second := FleetSettings{Revision: 2, Lease: time.Second, Partitions: map[string][]byte{"tally": []byte("two")}}
	require.Empty(t, set(second))
	require.Empty(t, set(second), "repeating the settings changes nothing")
	require.Contains(t, set(FleetSettings{Revision: 2, Lease: time.Minute}), "revision 2 of the fleet's settings is in force")
	require.Contains(t, set(FleetSettings{Revision: 1, Lease: time.Minute}), "needs a higher revision")
	require.Contains(t, set(FleetSettings{Revision: 3}), "a lease of 0s")
	require.Contains(t, set(FleetSettings{Revision: 3, Lease: time.Minute, Partitions: map[string][]byte{"tally": []byte("bad")}}), "tally: bad settings")
	require.Equal(t, uint64(2), l.m.Revision())
	require.Equal(t, []string{"two"}, l.part.Went)
	l.join(0, "n2", "b")
	l.apply(Command{At: time.Second, Kind: Tick}, nil)
	require.Len(t, l.m.Members(), 1, "n2 joined with the lease that was set, and it has expired")
}

func TestMajorityOfDigests(t *testing.T) {
	l := newLog(t)
	report := func(replica string, index uint64, sum uint64) {
		l.apply(Command{Kind: ReportDigests}, DigestsBody{Replica: replica, Index: index, Partitions: map[string]uint64{"tally": sum}})
	}
	report("k1", 7, 1)
	report("k2", 7, 2)
	require.Empty(t, l.m.DivergentPartitions("k1", 3), "one digest against another is no majority")
	report("k3", 7, 2)
	require.Equal(t, []string{"tally"}, l.m.DivergentPartitions("k1", 3))
	require.Empty(t, l.m.DivergentPartitions("k2", 3))
	report("k1", 9, 5)
	require.Empty(t, l.m.DivergentPartitions("k1", 3), "reports of a newer index replace those of older ones")
	report("k2", 7, 5)
	require.Empty(t, l.m.DivergentPartitions("k2", 3), "reports of an older index are ignored")
}

func FuzzRestore(f *testing.F) {
	l := newLog(f)
	l.join(0, "n1", "a")
	now, err := l.m.Snapshot()
	require.NoError(f, err)
	var b bytes.Buffer
	require.NoError(f, now.Write(&b))
	f.Add(b.Bytes())
	f.Fuzz(func(t *testing.T, text []byte) {
		m := New(newTally())
		if m.Restore(bytes.NewReader(text)) != nil {
			require.Empty(t, m.Members(), "a refused snapshot changes nothing")
		}
	})
}
