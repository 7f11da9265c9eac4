package journal

import (
	"fmt"
	"time"

	"basaltloft/internal/dispatcher/accounting"
)

// Verification is the result of a recount of a whole journal.
type Verification struct {
	Segments, Epochs    int
	Records, Jobs       int64
	Checkpoints         int64 // checkpoint records: there the ledger's totals were compared with the recount
	Totals              accounting.Totals
	Inconsistencies     []string // each prefixed by the segment's name or "at the end"
	TornBytes           int      // partly written batch at the very end; the next start truncates it
	LastShutdownClean   bool     // the last epoch ended with no job open, or there is none
	Oldest, Latest      time.Time
	BeforeOldestSegment accounting.Totals // counted in segments that have been removed
}

// maxInconsistencies is the maximum number of inconsistencies that are listed; further ones are only counted.
const maxInconsistencies = 1000

// counts holds the number of jobs that ended for each reason and, in its last element, the number of accepted
// jobs.
type counts [accounting.Reasons + 1]int64

// acceptedIndex is the index of the accepted jobs in counts.
const acceptedIndex = int(accounting.Reasons)

func newCounts(accepted int64, ends [accounting.Reasons]int64) (c counts) {
	copy(c[:], ends[:])
	c[acceptedIndex] = accepted
	return c
}

func (c *counts) accepted() int64 { return c[acceptedIndex] }

func (c *counts) ended() (sum int64) {
	for _, n := range c[:acceptedIndex] {
		sum += n
	}
	return sum
}

// verifier recounts a journal, record by record. It shares no code with the writer's own count, so that a fault
// in one of them is found by the other.
type verifier struct {
	result      *Verification
	location    string // prefix of inconsistencies: the name of the segment being read
	bySeries    map[Series]counts
	open        map[uint64]Series // open jobs, by number
	epochCounts counts            // of the epoch being read
	epoch       uint32            // of the segment being read
	index       uint32            // of the segment being read, within its epoch
	oldest      bool              // the oldest segment is being read, and earlier counts are not known
	clean       bool              // the last record is that of a clean shutdown
	omitted     int               // number of inconsistencies that are not listed

	// Used while the start of a segment is read: what it must repeat from the segments before it.
	inStart         bool
	expectedCounts  map[Series]counts
	expectedCarried map[uint64]Series
}

// Verify recounts all segments of a journal and lists their inconsistencies. It returns an error only if the
// directory can't be read.
func Verify(dir Directory) (*Verification, error) {
	names, err := dir.Names()
	if err != nil {
		return nil, err
	}
	v := &verifier{
		result: &Verification{LastShutdownClean: true}, oldest: true,
		bySeries: make(map[Series]counts), open: make(map[uint64]Series),
	}
	for i, name := range names {
		text, err := dir.Read(name)
		if err != nil {
			return nil, err
		}
		if err := v.segment(name, text, i == len(names)-1); err != nil {
			return nil, err
		}
	}
	v.finish()
	return v.result, nil
}

// inconsistent adds an inconsistency at the current location.
func (v *verifier) inconsistent(format string, args ...any) {
	if len(v.result.Inconsistencies) < maxInconsistencies {
		v.result.Inconsistencies = append(v.result.Inconsistencies, v.location+": "+fmt.Sprintf(format, args...))
	} else {
		v.omitted++
	}
}

// segment recounts one segment. Only the last segment may have a torn end.
func (v *verifier) segment(name string, text []byte, last bool) error {
	v.location = name
	if h, err := decodeHeader(text); err == nil {
		v.header(h)
	}
	scan, err := Scan(text, v.record)
	if err != nil {
		return err
	}
	v.endStart()
	v.result.Segments++
	unread := len(text) - scan.ValidBytes
	switch {
	case scan.Err != nil:
		v.inconsistent("%v: %d bytes can't be counted", scan.Err, unread)
	case scan.Torn && !last:
		v.inconsistent("%d torn bytes at the end, though another segment follows", unread)
	case scan.Torn:
		v.result.TornBytes = unread
	}
	return nil
}

// header checks that a segment follows the one before it in epoch and index.
func (v *verifier) header(h Header) {
	switch {
	case v.oldest:
	case h.Epoch == v.epoch && h.Index == v.index+1:
	case h.Epoch > v.epoch && h.Index == 1:
		v.epochCounts = counts{}
	default:
		v.inconsistent("segment %d of epoch %d follows segment %d of epoch %d", h.Index, h.Epoch, v.index, v.epoch)
	}
	if v.oldest || h.Epoch != v.epoch {
		v.result.Epochs++
	}
	if v.result.Oldest.IsZero() {
		v.result.Oldest = time.UnixMicro(h.Created)
	}
	v.epoch, v.index = h.Epoch, h.Index
}

func (v *verifier) record(r *Record) error {
	v.result.Records++
	if at := time.UnixMicro(r.At); r.At != 0 && at.After(v.result.Latest) {
		v.result.Latest = at
	}
	v.clean = false
	if v.inStart && r.Kind != KindBalance && r.Kind != KindCarriedOver {
		v.endStart()
	}
	switch r.Kind {
	case KindSegmentStart:
		v.startSegment(r)
	case KindBalance:
		v.balance(r)
	case KindCarriedOver:
		v.carriedOver(r)
	case KindAccepted:
		v.accepted(r)
	case KindEnded:
		v.ended(r)
	case KindCheckpoint:
		v.checkpoint(r)
	case KindCleanShutdown:
		v.clean = true
		if len(v.open) > 0 {
			v.inconsistent("a clean shutdown is recorded with %d jobs open", len(v.open))
		}
	}
	return nil
}

// startSegment starts the check of what a segment repeats from those before it.
func (v *verifier) startSegment(r *Record) {
	v.inStart = true
	stated := newCounts(r.Accepted, r.Ends)
	if v.oldest {
		v.epochCounts = stated
	} else if v.epochCounts != stated {
		v.inconsistent("the segment start has %d accepted and %v ended in this epoch, the recount %d and %v",
			r.Accepted, r.Ends, v.epochCounts.accepted(), v.epochCounts[:acceptedIndex])
	}
	v.expectedCounts, v.expectedCarried = v.bySeries, v.open
	v.bySeries, v.open = make(map[Series]counts), make(map[uint64]Series)
}

func (v *verifier) balance(r *Record) {
	stated := newCounts(r.Accepted, r.Ends)
	recounted, known := v.expectedCounts[r.Series]
	if !v.oldest && (!known || recounted != stated) {
		v.inconsistent("the balance of %v is %v, the recount has %v", r.Series, stated, recounted)
	} else if v.oldest {
		v.result.BeforeOldestSegment.Taken += r.Accepted
		for reason, n := range r.Ends {
			v.result.BeforeOldestSegment.Ends[reason] += n
		}
	}
	v.bySeries[r.Series] = stated
	delete(v.expectedCounts, r.Series)
}

func (v *verifier) carriedOver(r *Record) {
	if series, known := v.expectedCarried[r.Number]; !v.oldest && (!known || series != r.Series) {
		v.inconsistent("job %d of %v is carried over, but was not open", r.Number, r.Series)
	} else if v.oldest {
		v.result.BeforeOldestSegment.Open++
	}
	v.open[r.Number] = r.Series
	delete(v.expectedCarried, r.Number)
}

func (v *verifier) accepted(r *Record) {
	v.result.Jobs++
	if _, twice := v.open[r.Number]; twice {
		v.inconsistent("job %d of %v is accepted while it is open", r.Number, r.Series)
	}
	v.open[r.Number] = r.Series
	v.count(r.Series, acceptedIndex)
	v.epochCounts[acceptedIndex]++
}

func (v *verifier) ended(r *Record) {
	series, open := v.open[r.Number]
	if !open {
		v.inconsistent("job %d ends (%s), but is not open", r.Number, r.Reason)
		return
	}
	delete(v.open, r.Number)
	v.count(series, int(r.Reason))
	if r.Reason != accounting.Crashed { // a crashed job belongs to the previous epoch
		v.epochCounts[r.Reason]++
	}
}

func (v *verifier) checkpoint(r *Record) {
	v.result.Checkpoints++
	open := v.epochCounts.accepted() - v.epochCounts.ended()
	if v.epochCounts != newCounts(r.Accepted, r.Ends) || open != r.Open {
		v.inconsistent("the checkpoint has %d accepted, %d open and %v ended; the recount %d, %d and %v",
			r.Accepted, r.Open, r.Ends, v.epochCounts.accepted(), open, v.epochCounts[:acceptedIndex])
	}
}

// endStart ends the check of a segment's start: it reports what the segment should have repeated and did not.
func (v *verifier) endStart() {
	if !v.inStart {
		return
	}
	if !v.oldest {
		for series, n := range v.expectedCounts {
			v.inconsistent("the segment start has no balance of %v, the recount %v", series, n)
		}
		for number, series := range v.expectedCarried {
			v.inconsistent("job %d of %v was open and is not carried over", number, series)
		}
	}
	v.inStart, v.oldest, v.expectedCounts, v.expectedCarried = false, false, nil, nil
}

// count adds one job to an element of a series' counts.
func (v *verifier) count(s Series, element int) {
	n := v.bySeries[s]
	n[element]++
	v.bySeries[s] = n
}

// finish adds up the totals of all series, and checks for each series that its accepted jobs equal the ended and
// the open ones.
func (v *verifier) finish() {
	result := v.result
	result.LastShutdownClean = v.clean || result.Segments == 0
	for series, n := range v.bySeries {
		var open int64
		for _, of := range v.open {
			if of == series {
				open++
			}
		}
		if n.accepted() != n.ended()+open {
			v.location = "at the end"
			v.inconsistent("%v: %d accepted, but %d ended and %d open", series, n.accepted(), n.ended(), open)
		}
		result.Totals.Taken += n.accepted()
		for reason := range result.Totals.Ends {
			result.Totals.Ends[reason] += n[reason]
		}
	}
	result.Totals.Open = int64(len(v.open))
	if v.omitted > 0 {
		result.Inconsistencies = append(result.Inconsistencies, fmt.Sprintf("and %d more", v.omitted))
	}
}
