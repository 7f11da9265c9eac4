package simworld_test

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"basaltloft/coord/group"
	"basaltloft/coord/replica"
)

// deployment holds the parameters of a deployment that concern the control plane.
type deployment struct {
	nodes           int           // of the control plane
	toleratedLosses int           // nodes that may be lost at the same time
	seeds           int           // in the settings of each process
	applyWithin     time.Duration // config_apply_ms
	catchUp         time.Duration // catchup_s
	recovery        time.Duration // recovery_s
	cancel          time.Duration // cancel_ms
	syncTime        time.Duration // of a disk
}

// deployments are the deployments under test: seed n runs the one at n modulo their number.
var deployments = []deployment{
	{nodes: 3, toleratedLosses: 1, seeds: 3, applyWithin: 2 * time.Second, catchUp: 4 * time.Second, recovery: 12 * time.Second, cancel: 3 * time.Second, syncTime: 4 * time.Millisecond},
	{nodes: 3, toleratedLosses: 1, seeds: 3, applyWithin: 2 * time.Second, catchUp: 4 * time.Second, recovery: 12 * time.Second, cancel: 3 * time.Second, syncTime: 9 * time.Millisecond},
	{nodes: 5, toleratedLosses: 2, seeds: 3, applyWithin: 2500 * time.Millisecond, catchUp: 6 * time.Second, recovery: 15 * time.Second, cancel: 4 * time.Second, syncTime: 4 * time.Millisecond},
	{nodes: 4, toleratedLosses: 1, seeds: 3, applyWithin: 1200 * time.Millisecond, catchUp: 4 * time.Second, recovery: 12 * time.Second, cancel: 3 * time.Second, syncTime: 15 * time.Millisecond},
}

// timing is the timing of all replica groups, as in package controlplane.
var timing = replica.Timing{HeartbeatInterval: 100 * time.Millisecond, LeaseDuration: 420 * time.Millisecond, MinElectionTimeout: 520 * time.Millisecond, ElectionJitter: 260 * time.Millisecond}

// world is the simulation of a cluster: processes, network and clients, and the records for the checks.
type world struct {
	t              testing.TB
	seed           uint64
	deployment     deployment
	random         *rand.Rand
	now            time.Duration
	queue          eventQueue
	number         uint64
	processes      map[string]*process
	nodes          []*controlNode
	dispatchers    []*dispatcher
	runners        []*runner
	minRunTime     time.Duration // of a task
	maxRunTime     time.Duration
	platform       *platformList      // nil: each node sees the present runners
	partitioned    map[[2]string]bool // from, to
	lossShare      float64            // of messages that are lost
	lateShare      float64            // of messages that are late by up to seconds
	freezeChance   float64            // that a process freezes when it reads its clock
	lostOrderShare float64            // of orders to runners that get no answer and are executed late
	freezeDepth    int                // nesting of freezeInside
	planted        plantedFault
	onAcknowledged func(acknowledgement) // called when an acknowledgement is sent; may be nil
	tracing        bool
	noNewLoad      bool // clients and operators begin nothing new
	log            *slog.Logger

	config     configHistory
	jobs       map[string]*jobHistory
	jobIDs     []string
	leases     map[string]map[string]group.Lease // by group and process
	tokenUsers map[string]string                 // node and incarnation, by service and fencing token
	serial     int
	nodesMade  int // control-plane nodes added so far
	lastStamp  int64
	recorder   recorder
}

// newWorld returns a world in which only the runners have been started.
func newWorld(t testing.TB, seed uint64, b deployment) *world {
	w := &world{
		t: t, seed: seed, deployment: b, random: rand.New(rand.NewPCG(seed, 41)), now: time.Hour, processes: map[string]*process{},
		partitioned: map[[2]string]bool{}, jobs: map[string]*jobHistory{}, leases: map[string]map[string]group.Lease{}, tokenUsers: map[string]string{},
		minRunTime: 50 * time.Millisecond, maxRunTime: 600 * time.Millisecond,
		log: slog.New(slog.DiscardHandler),
	}
	for n := range b.nodes {
		w.addNode(fmt.Sprintf("core-%d", n))
	}
	for n := range 2 {
		w.addDispatcher(fmt.Sprintf("edge-%d", n))
	}
	for _, service := range twoServices {
		for n := range 2 {
			w.addRunner(fmt.Sprintf("runner-%s-%d", service, n), service)
		}
	}
	w.tickRunners()
	return w
}

// fail ends the test with a failure, at a check that does not hold.
func (w *world) fail(format string, args ...any) {
	w.t.Helper()
	w.t.Fatalf("seed %d at %v: %s", w.seed, w.now-time.Hour, fmt.Sprintf(format, args...))
}

// tracef logs a line if the run is traced.
func (w *world) tracef(format string, args ...any) {
	if w.tracing {
		w.t.Logf("%v %s", w.now-time.Hour, fmt.Sprintf(format, args...))
	}
}

// randomBetween returns a random duration; both bounds are possible.
func (w *world) randomBetween(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)+1))
}

// chance returns true with the given probability. For 0 it draws no random number.
func (w *world) chance(share float64) bool { return share > 0 && w.random.Float64() < share }
