package scheduler_test

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkCycle is one scheduling cycle over ready work that fits nowhere: 2,000 jobs beside full runners.
func BenchmarkCycle(b *testing.B) {
	for _, runners := range []int{350, 3000} {
		b.Run(fmt.Sprint(runners), func(b *testing.B) {
			w := newWorld(b, 1, runners)
			w.run(200 * time.Millisecond)
			for range runners {
				w.submit(oneTask(600_000, 16_000), false)
			}
			w.run(200 * time.Millisecond)
			for range 2000 {
				w.submit(oneTask(1000, 8000), false)
			}
			for b.Loop() {
				b.StopTimer()
				w.now += 10 * time.Millisecond
				w.listRunners()
				b.StartTimer()
				w.scheduler.TakeOutput(w.now, false)
			}
		})
	}
}
