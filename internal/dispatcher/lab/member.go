package lab

import (
	"math"
	"time"

	"basaltloft/internal/dispatcher/policy"
)

// MemberKind is one kind of member.
type MemberKind struct {
	Name     string
	Count    int
	Cores    int
	Slots    int     // jobs that run at a time count their slots against these
	Queue    int     // jobs that wait; what comes beyond is turned away
	Speed    float64 // of a core; 1 runs a job in its own work
	SpeedCV  float64 // how the members of the kind differ
	Cells    int     // groups that drop repeats; 0: one
	ColdFrom float64 // share of its speed that it starts with
	ColdFor  time.Duration
	// Crowding is what each job beyond CrowdFrom, or else the cores, costs all of
	// them, as a share of their speed: locks, memory, caches.
	Crowding  float64
	CrowdFrom int
	// Connections is how many it holds at a time, one for each job that runs or
	// waits; what comes beyond does not come up. 0: no bound.
	Connections int
	Handshake   time.Duration // of its work, for each attempt that it takes
}

// member is a server: it runs what fits in order, and holds a bounded queue.
// Jobs share its cores. Nothing that has begun stops.
type member struct {
	w       *World
	number  uint32
	kind    *MemberKind
	cell    int
	speed   float64
	started time.Duration // its latest start; 0: long ago
	state   policy.MemberState
	up      bool
	paused  bool
	cutTill time.Duration // nothing gets through to it or from it until then
	slow    float64       // a trouble's factor on its speed
	queue   []*attempt
	running []*attempt
	busy    float64 // slots in use
	moved   time.Duration
	turn    int           // of the next completion, to know those that are out of date
	ran     time.Duration // work done, in its own time
}

// attempt is one send of a request.
type attempt struct {
	req    *request
	n      int
	from   *dispatcher
	to     *member
	sentAt time.Duration
	work   float64 // nanoseconds at speed 1 that are left
	out    bool    // its outcome has not been told
	may    bool    // it has begun to run
}

// warm is the share of its speed that it has now.
func (m *member) warm() float64 {
	k := m.kind
	if m.started == 0 || k.ColdFor == 0 {
		return 1
	}
	age := float64(m.w.now-m.started) / float64(k.ColdFor)
	return min(1, k.ColdFrom+(1-k.ColdFrom)*age)
}

// rate is how fast each running job goes, in work a nanosecond.
func (m *member) rate() float64 {
	if m.paused || len(m.running) == 0 {
		return 0
	}
	share := min(1, float64(m.kind.Cores)/m.busy)
	crowd := 1 / (1 + m.kind.Crowding*max(0, float64(len(m.running)+len(m.queue)-max(m.kind.Cores, m.kind.CrowdFrom))))
	return m.speed * m.slow * m.warm() * share * crowd
}

// advance lets the running jobs go on until now.
func (m *member) advance() {
	if span := m.w.now - m.moved; span > 0 && len(m.running) > 0 {
		if rate := m.rate(); rate > 0 {
			for _, a := range m.running {
				a.work -= rate * float64(span)
			}
			m.ran += span * time.Duration(min(float64(m.kind.Cores), m.busy))
		}
	}
	m.moved = m.w.now
}

const coldStep = 50 * time.Millisecond // how often a warming member's rate is looked at

// plan sets the time at which the next job ends, or its rate changes.
func (m *member) plan() {
	m.turn++
	rate := m.rate()
	if rate == 0 {
		return
	}
	least := math.Inf(1)
	for _, a := range m.running {
		least = min(least, a.work)
	}
	next := time.Duration(math.Ceil(max(0, least) / rate))
	if m.warm() < 1 {
		next = min(next, coldStep)
	}
	turn := m.turn
	m.w.in(next, func() {
		if m.turn == turn {
			m.step()
		}
	})
}

// step ends what has run, starts what fits, and plans on.
func (m *member) step() {
	m.advance()
	kept := m.running[:0]
	for _, a := range m.running {
		if a.work > 0.5 {
			kept = append(kept, a)
			continue
		}
		m.busy -= a.req.slots
		m.w.reply(a, policy.OK)
	}
	for i := len(kept); i < len(m.running); i++ {
		m.running[i] = nil
	}
	m.running = kept
	for len(m.queue) > 0 && m.busy+m.queue[0].req.slots <= float64(m.kind.Slots) {
		a := m.queue[0]
		m.queue = m.queue[1:]
		m.start(a)
	}
	m.plan()
}

func (m *member) start(a *attempt) {
	a.may = true
	m.busy += a.req.slots
	m.running = append(m.running, a)
	m.w.told(a)
}

// take takes an attempt in, or turns it away.
func (m *member) take(a *attempt) {
	switch {
	case !m.up || m.kind.Connections > 0 && len(m.running)+len(m.queue) >= m.kind.Connections:
		m.w.reply(a, policy.ConnectFailed)
		return
	case m.state == policy.Draining || len(m.queue) >= m.kind.Queue && m.busy+a.req.slots > float64(m.kind.Slots):
		m.w.reply(a, policy.Rejected)
		return
	}
	m.w.check.arrives(m, a)
	m.advance()
	a.work += float64(m.kind.Handshake)
	if len(m.queue) == 0 && m.busy+a.req.slots <= float64(m.kind.Slots) {
		m.start(a)
	} else {
		m.queue = append(m.queue, a)
	}
	m.plan()
}

// crash ends the process with all that it holds.
func (m *member) crash() {
	m.advance()
	for _, a := range append(m.running, m.queue...) {
		m.w.reply(a, policy.Reset)
	}
	m.running, m.queue, m.busy, m.up = nil, nil, 0, false
	m.turn++
}

// boot starts it, cold.
func (m *member) boot() {
	m.up, m.state, m.started, m.moved = true, policy.Ready, max(m.w.now, 1), m.w.now
}

// drain lets it take nothing more, and hands back what waits.
func (m *member) drain() {
	m.state = policy.Draining
	for _, a := range m.queue {
		m.w.reply(a, policy.Rejected)
	}
	m.queue = nil
}

// load is the work that it holds, in its own time with all cores: what a policy
// that sees the true state goes by.
func (m *member) load() float64 {
	m.advance()
	sum := 0.0
	for _, a := range m.running {
		sum += max(0, a.work)
	}
	for _, a := range m.queue {
		sum += a.work
	}
	return sum / (m.speed * m.slow * m.warm() * float64(m.kind.Cores))
}
