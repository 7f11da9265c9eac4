package shares

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var whole = flag.Bool("study", false, "the study of ways to divide at 300 and 3000 too")

// study is the use of a Rate's whole by n holders of whom one has half the traffic,
// another every 10 s; offered is all traffic as a part of the whole. Calls take 20 ms.
// It tells the part of the whole that was used, of what the rest asked
// for the part let in, and the renewals a second and holder.
func study(n int, way Way, offered float64) (use, others, renewals float64) {
	const step, length, warm = 10 * time.Millisecond, 70 * time.Second, 10 * time.Second
	rnd, total := rand.New(rand.NewPCG(1, uint64(n))), float64(100*n)
	b := NewBook()
	b.way = way
	must(b.Configure(0, Config{Lease: lease, Budgets: []Budget{{Name: "x", Kind: Rate, Whole: total, Burst: total / 2}}}))
	purses, taps := make([]*Purse, n), make([]*Tap, n)
	for i := range purses {
		purses[i] = NewPurse()
		purses[i].Expect("x")
		purses[i].Become(fmt.Sprint(i), 1)
		taps[i] = purses[i].Tap("x")
	}
	later := map[time.Duration][]func(){}
	var in, asked, asks int
	for now := time.Duration(0); now < length; now += step {
		for _, do := range later[now] {
			do()
		}
		delete(later, now)
		b.Advance(now)
		heavy := int(now/(10*time.Second)) * 7 % n
		for i, p := range purses {
			rate := total * offered / 2 / float64(n-1)
			if i == heavy {
				rate = total * offered / 2
			}
			for at := rnd.ExpFloat64() / rate; at < step.Seconds(); at += rnd.ExpFloat64() / rate {
				ok := taps[i].Take(now + time.Duration(at*1e9))
				if now < warm {
					continue
				}
				if ok {
					use++
				}
				if i != heavy {
					asked++
					if ok {
						in++
					}
				}
			}
			if p.Due(now) <= now+time.Duration(i%100)*step/100 { // not all in step
				asks++
				r, sent := p.Renewal(now), now
				later[now+2*step] = append(later[now+2*step], func() {
					g, err := b.Renew(sent+2*step, r)
					must(err)
					later[sent+4*step] = append(later[sent+4*step], func() { p.Apply(sent, sent+4*step, g) })
				})
			}
		}
	}
	return use / (total * (length - warm).Seconds()), float64(in) / float64(asked), float64(asks) / length.Seconds() / float64(n)
}

// TestStudy: how well the whole is used when demand is skewed and moves.
func TestStudy(t *testing.T) {
	ways, fleets := []string{"equal", "proportional", "loan", "max-min"}, []int{30}
	if *whole {
		fleets = []int{30, 300, 3000}
	}
	for _, n := range fleets {
		for k, way := range []Way{Equal, Proportional, Loan, MaxMin} {
			for _, offered := range []float64{1, 1.5} {
				use, others, renewals := study(n, way, offered)
				t.Logf("%4d holders, offered %.1f, %-12s: use %.3f; of what the others ask %.3f let in; %.2f renewals a second each",
					n, offered, ways[k], use, others, renewals)
				require.True(t, k < 3 || use >= 0.9, "max-min uses %v", use)
			}
		}
	}
}
