package faktory

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/valyala/fastjson"

	"basaltloft/internal/shared/saturating"
)

// isAbsent reports whether a field is missing or null.
func isAbsent(v *fastjson.Value) bool { return v == nil || v.Type() == fastjson.TypeNull }

// isAbsentOr reports whether a field is of a type, or absent.
func isAbsentOr(v *fastjson.Value, of fastjson.Type) bool { return isAbsent(v) || v.Type() == of }

// timeField reads an optional time in RFC 3339; one that is absent, null or empty is zero.
func timeField(v *fastjson.Value, key string) (time.Time, error) {
	at := v.Get(key)
	if isAbsent(at) || len(at.GetStringBytes()) == 0 && at.Type() == fastjson.TypeString {
		return time.Time{}, nil
	}
	t, err := time.Parse(time.RFC3339Nano, string(at.GetStringBytes()))
	if err != nil {
		return t, fmt.Errorf("%s is no time in RFC 3339", key)
	}
	return t, nil
}

// maxDuration is the longest duration that a client may name: a century.
const maxDuration = 100 * 365 * 24 * time.Hour

// secondsToDuration converts a number of seconds, limited to the range from 0 to maxDuration.
func secondsToDuration(n float64) time.Duration {
	return saturating.Duration(min(max(n, 0), maxDuration.Seconds()) * float64(time.Second))
}

// distinct returns names without repeats, in the order in which they first occur.
func distinct(names []string) []string {
	var kept []string
	for _, name := range names {
		if !slices.Contains(kept, name) {
			kept = append(kept, name)
		}
	}
	return kept
}

// isInvalidQueueName reports whether a command that names this queue is rejected.
func isInvalidQueueName(name string) bool { return len(name) > maxNameLength || !isQueueName(name) }

// truncateToInt drops the fraction of a number and limits it to the range from -1 to the largest
// int32.
func truncateToInt(f float64) int { return saturating.Int(min(max(math.Trunc(f), -1), math.MaxInt32)) }

// isQueueName reports whether a name can be the name of a queue: it is not empty and has only
// ASCII letters, digits, dots, underscores and hyphens.
func isQueueName(name string) bool {
	for _, c := range []byte(name) {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9', c == '.', c == '_', c == '-':
		default:
			return false
		}
	}
	return name != ""
}
