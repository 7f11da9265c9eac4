package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestMassTimeoutIsDetected(t *testing.T) {
	var d massTimeoutDetector
	d.record(0)
	d.record(100 * time.Millisecond)
	_, detected := d.detect(100 * time.Millisecond)
	require.False(t, detected, "two timeouts may be a coincidence")
	d.record(200 * time.Millisecond)
	count, detected := d.detect(200 * time.Millisecond)
	require.True(t, detected)
	require.Equal(t, 3, count)
}

func TestMassTimeoutNeedsTimeoutsThatComeTogether(t *testing.T) {
	var d massTimeoutDetector
	for at := range 10 {
		now := time.Duration(at) * massTimeoutWindow / 2
		d.record(now)
		count, detected := d.detect(now)
		require.False(t, detected)
		require.LessOrEqual(t, count, 2)
	}
}

func TestMassTimeoutIsReportedOnceInAPause(t *testing.T) {
	var d massTimeoutDetector
	now := time.Hour
	recordThree := func() {
		for range massTimeoutRunners {
			d.record(now)
		}
	}
	recordThree()
	_, detected := d.detect(now)
	require.True(t, detected)
	now += massTimeoutPause - 1
	recordThree()
	_, detected = d.detect(now)
	require.False(t, detected, "it was reported recently")
	now++
	_, detected = d.detect(now)
	require.True(t, detected, "three are unresponsive, and the pause is over")
}
