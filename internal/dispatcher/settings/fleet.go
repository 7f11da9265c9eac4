package settings

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fastjson"
)

// Fleet joins this process to a fleet of dispatchers. The files call a raft node a keeper.
type Fleet struct {
	Name            string // of this process in the fleet; empty: the configuration's
	DataDir         string // of its state, which must persist
	RPCAddress      string // a raft node: where it listens for processes' calls
	RaftAddress     string // a raft node: where it listens for the other raft nodes
	RaftNodes       map[string]FleetRaftNode
	Revision        uint64        // of what follows, which is the same for the whole fleet
	Lease           time.Duration // of a process; it ends without contact for so long
	Budgets         []FleetBudget
	Plans           []string      // files of plans, absolute or from the folder of the operator's file
	Records         *FleetRecords // nil: none are kept
	ElectionTimeout time.Duration // after which a raft leader without contact is replaced
	DigestInterval  time.Duration // between comparisons of the replicas' digests
}

// FleetRaftNode is where a raft node is reached from this process.
type FleetRaftNode struct{ RPCAddress, RaftAddress string }

// FleetBudget is a budget that all processes of the fleet share.
type FleetBudget struct {
	Of    string  // what it bounds, one of BudgetKinds
	Name  string  // of the tenant, class or kind of member; "" where there is one for all
	Total float64 // a second, or at a time
	Burst float64 // what may be spent at once, of one that counts by the second

	Floor      float64 // set aside for each of Floors processes that are cut off
	Floors     int
	FloorFor   time.Duration      // how long a process that is cut off may use its floor
	SettleTime time.Duration      // the longest life of a job (under_way), how long a freed part rests (cold)
	Weights    map[string]float64 // of processes, by name; absent: 1
}

// Key returns the budget's name in the fleet.
func (b FleetBudget) Key() string {
	if b.Name == "" {
		return b.Of
	}
	return b.Of + "/" + b.Name
}

// Kinds of budgets.
const (
	BudgetJobs     = "jobs"      // jobs a second, of a tenant
	BudgetRetries  = "retries"   // attempts beyond the first a second, of a class
	BudgetUnderWay = "under_way" // jobs under way at a time, at members of a kind
	BudgetCold     = "cold"      // what a cold member may be sent, as parts of one whole
	BudgetProbes   = "probes"    // probes a second
)

// BudgetKinds are all kinds of budgets.
var BudgetKinds = []string{BudgetJobs, BudgetRetries, BudgetUnderWay, BudgetCold, BudgetProbes}

// FleetRecords says which records of finished jobs are kept.
type FleetRecords struct {
	Body    int // bytes of a result that are kept with its record, at most
	Tenants map[string]RecordRule
}

// RecordRule bounds what is kept of one tenant; 0: no bound of that sort.
type RecordRule struct {
	Days        float64
	FailureDays float64 // failures are kept this long, where it is longer
	Count       int
	Megabytes   int
}

// maxRaftNodes is the largest number of raft nodes.
const maxRaftNodes = 5

// fleet reads the set-up of the fleet.
func (r *reader) fleet() *Fleet {
	f := &Fleet{
		Name: r.text("fleet.name"), DataDir: r.text("fleet.folder"),
		RPCAddress: r.text("fleet.calls"), RaftAddress: r.text("fleet.votes"),
		RaftNodes: map[string]FleetRaftNode{}, Revision: uint64(r.count("fleet.revision", 1)),
		Lease:           time.Duration(r.count("fleet.lease_ms", 3000)) * time.Millisecond,
		ElectionTimeout: time.Duration(r.count("fleet.election_ms", 1000)) * time.Millisecond,
		DigestInterval:  time.Duration(r.count("fleet.compare_every_ms", 5000)) * time.Millisecond,
		Plans:           r.names("fleet.plans"),
	}
	r.eachOf("fleet.keepers", func(name string, k *reader) {
		at := FleetRaftNode{RPCAddress: k.text("calls"), RaftAddress: k.text("votes")}
		k.address("calls", at.RPCAddress)
		k.address("votes", at.RaftAddress)
		f.RaftNodes[name] = at
	})
	if n := len(f.RaftNodes); n != 1 && n != 3 && n != maxRaftNodes {
		r.fail("fleet.keepers", fmt.Errorf("there must be 1, 3 or %d keepers, not %d", maxRaftNodes, n))
	}
	if f.DataDir == "" {
		r.fail("fleet.folder", errors.New("must name a folder that lasts"))
	}
	if (f.RPCAddress == "") != (f.RaftAddress == "") {
		r.fail("fleet.calls", errors.New("a keeper listens for calls and for votes, another process for neither"))
	}
	if f.RPCAddress != "" {
		r.address("fleet.calls", f.RPCAddress)
		r.address("fleet.votes", f.RaftAddress)
	}
	for i, v := range r.list("fleet.budgets") {
		at := r.inner(v, fmt.Sprintf("fleet.budgets[%d].", i))
		f.Budgets = append(f.Budgets, at.budget())
		r.join(at)
	}
	if r.get("fleet.records", fastjson.TypeObject) != nil {
		f.Records = &FleetRecords{Body: int(r.count("fleet.records.body_bytes", 0)), Tenants: map[string]RecordRule{}}
		r.eachOf("fleet.records.tenants", func(name string, t *reader) {
			f.Records.Tenants[name] = RecordRule{
				Days: t.positive("days"), FailureDays: t.positive("failure_days"), Count: int(t.count("count", 0)), Megabytes: int(t.count("megabytes", 0)),
			}
		})
	}
	return f
}

// budget reads a budget.
func (r *reader) budget() FleetBudget {
	b := FleetBudget{
		Of: r.text("of"), Name: r.text("name"), Total: r.positive("whole"), Burst: r.positive("burst"),
		Floor: r.positive("floor"), Floors: int(r.count("floors", 0)), FloorFor: time.Duration(r.count("floor_for_s", 600)) * time.Second,
		SettleTime: time.Duration(r.count("linger_ms", 0)) * time.Millisecond, Weights: map[string]float64{},
	}
	switch single := b.Of == BudgetCold || b.Of == BudgetProbes; {
	case !slices.Contains(BudgetKinds, b.Of):
		r.fail("of", fmt.Errorf("%q: must be one of %s", b.Of, strings.Join(BudgetKinds, ", ")))
	case single && b.Name != "":
		r.fail("name", fmt.Errorf("there is one budget of %s, for all", b.Of))
	case !single && b.Name == "":
		r.fail("name", errors.New("must say what it is for: a tenant, a class or a kind of member"))
	}
	if v := r.get("weights", fastjson.TypeObject); v != nil {
		weights := r.inner(v, "weights.")
		v.GetObject().Visit(func(name []byte, _ *fastjson.Value) {
			r.asked[r.in+"weights."+string(name)] = true
			b.Weights[string(name)] = weights.number(string(name))
		})
		r.join(weights)
	}
	return b
}

// positive reads a figure that is not negative.
func (r *reader) positive(path string) float64 {
	x := r.number(path)
	if x < 0 {
		r.fail(path, errors.New("must not be negative"))
	}
	return x
}

// eachOf reads an object of objects by name. Its names may hold dots.
func (r *reader) eachOf(path string, read func(name string, at *reader)) {
	v := r.get(path, fastjson.TypeObject)
	if v == nil {
		return
	}
	v.GetObject().Visit(func(name []byte, at *fastjson.Value) {
		if strings.HasPrefix(string(name), "#") {
			return
		}
		r.asked[r.in+path+"."+string(name)] = true
		if at.Type() != fastjson.TypeObject {
			r.fail(path+"."+string(name), errors.New("must be an object"))
			return
		}
		inner := r.inner(at, path+"."+string(name)+".")
		read(string(name), inner)
		r.join(inner)
	})
}
