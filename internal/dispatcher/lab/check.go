package lab

import (
	"fmt"
	"slices"
	"time"

	"basaltloft/internal/dispatcher/policy"
)

// checker holds a run to the rules. It keeps tables of its own, made of what
// goes over the net, and shares nothing with the policies.
type checker struct {
	w      *World
	broken []string
	more   int
	jobs   map[*request]*checked
	told   map[*dispatcher]map[uint32]time.Duration // since when a member is known to drain or to be gone
	cold   map[uint32][]arrival                     // what reached a cold member
}

// checked is what the checker knows of one try.
type checked struct {
	taken    bool
	answers  int
	sends    []*attempt
	statuses map[*attempt]policy.Status
	out      int
}

type arrival struct {
	at   time.Duration
	work float64 // at speed 1, by all its slots
}

func newChecker(w *World) *checker {
	return &checker{w: w, jobs: make(map[*request]*checked), told: make(map[*dispatcher]map[uint32]time.Duration), cold: make(map[uint32][]arrival)}
}

const mostBroken = 20

func (c *checker) say(format string, args ...any) {
	if len(c.broken) < mostBroken {
		c.broken = append(c.broken, fmt.Sprintf("%.3f s: ", (c.w.now-time.Hour).Seconds())+fmt.Sprintf(format, args...))
	} else {
		c.more++
	}
}

func (c *checker) of(r *request) *checked {
	j := c.jobs[r]
	if j == nil {
		j = &checked{statuses: make(map[*attempt]policy.Status)}
		c.jobs[r] = j
	}
	return j
}

func (c *checker) taken(r *request) { c.of(r).taken = true }

// sends checks an attempt when its policy sends it.
func (c *checker) sends(d *dispatcher, a *attempt) {
	j, s := c.of(a.req), &c.w.x.Settings
	if j.answers > 0 {
		c.say("%s is sent after its final answer", a.req.id)
	}
	if j.out > 0 && !s.Limits.ConcurrentAttempts {
		c.say("%s has two attempts at once", a.req.id)
	}
	if len(j.sends) >= s.Limits.MaxAttempts {
		c.say("%s is sent for the %dth time", a.req.id, len(j.sends)+1)
	}
	for _, before := range j.sends {
		status, ended := j.statuses[before]
		if ended && s.Rules.ProvesNotRun(status) {
			continue
		}
		switch a.req.class.Effect {
		case policy.AtMostOnce:
			c.say("%s, which must not run twice, is sent again", a.req.id)
		case policy.Deduplicated:
			same := a.req.class.Group == policy.DedupAll || a.req.class.Group == policy.DedupZone || before.to.cell == a.to.cell
			if !same || c.w.now-before.sentAt > a.req.class.Window {
				c.say("%s is sent again outside of its group or window", a.req.id)
			}
		}
	}
	if at, closed := c.told[d][a.to.number]; closed && c.w.now > at+drainWindow {
		c.say("%s is sent to member %d, %.1f s after it was told to be draining or gone", a.req.id, a.to.number, (c.w.now - at).Seconds())
	}
	j.sends = append(j.sends, a)
	j.out++
}

const drainWindow = 2 * time.Second

// listed takes in what a dispatcher is told of a member.
func (c *checker) listed(d *dispatcher, m policy.Member) {
	of := c.told[d]
	if of == nil {
		of = make(map[uint32]time.Duration)
		c.told[d] = of
	}
	if m.State == policy.Ready {
		delete(of, m.Worker)
	} else if _, known := of[m.Worker]; !known {
		of[m.Worker] = c.w.now
	}
}

// arrives checks what reaches a cold member against the rule's budget: the work
// of any window stays under a multiple of what it can do at that moment.
func (c *checker) arrives(m *member, a *attempt) {
	rules := c.w.x.Settings.Rules
	if m.started == 0 || m.warm() >= 1 || rules.ColdOverloadWindow == 0 {
		return
	}
	all := append(c.cold[m.number], arrival{c.w.now, a.req.work * a.req.slots})
	all = slices.DeleteFunc(all, func(x arrival) bool { return x.at <= c.w.now-rules.ColdOverloadWindow })
	c.cold[m.number] = all
	sum := 0.0
	for _, x := range all {
		sum += x.work
	}
	capacity := m.speed * m.warm() * float64(m.kind.Cores) * float64(rules.ColdOverloadWindow)
	// A little slack for chance, and for the one job that is larger than all.
	if sum > rules.ColdOverloadMultiple*capacity*1.1 && len(all) > 1 {
		c.say("cold member %d got %.1f times what it can do", m.number, sum/capacity)
	}
}

func (c *checker) ended(a *attempt, s policy.Status) {
	j := c.of(a.req)
	j.statuses[a] = s
	j.out--
}

// cut takes in that a dispatcher ended with a request in hand: none of its
// attempts counts any more, and the break was its client's answer.
func (c *checker) cut(r *request) {
	j := c.of(r)
	j.out = 0
}

func (c *checker) answered(r *request, refused bool) {
	j := c.of(r)
	j.answers++
	if late := c.w.now - r.expires - c.w.x.Settings.Rules.AnswerGrace; late > 0 {
		c.say("%s has its answer %v after its deadline", r.id, late)
	}
	if !refused || r.class.Effect == policy.Idempotent || r.class.Effect == policy.Deduplicated && r.class.Group == policy.DedupAll {
		return
	}
	for _, a := range j.sends {
		if s, ended := j.statuses[a]; !ended || !c.w.x.Settings.Rules.ProvesNotRun(s) {
			c.say("%s is refused, though it may have run", r.id)
			return
		}
	}
}

func (c *checker) twice(r *request) { c.say("%s has a second final answer", r.id) }

// end checks what must be true once all is over.
func (c *checker) end() {
	for r, j := range c.jobs {
		if j.taken && j.answers == 0 {
			c.say("%s has no final answer", r.id)
		}
	}
	slices.Sort(c.broken)
	if c.more > 0 {
		c.broken = append(c.broken, fmt.Sprintf("and %d more", c.more))
	}
}
