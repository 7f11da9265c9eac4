package settings

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fastjson"
)

// Fleet configures the membership of this process in a fleet of dispatchers. The files call a raft node a
// keeper.
type Fleet struct {
	Name            string // of this process in the fleet; empty: the name in the configuration
	DataDir         string // of the state of this process, which must persist
	RPCAddress      string // raft nodes only: where it listens for calls of the processes
	RaftAddress     string // raft nodes only: where it listens for the other raft nodes
	RaftNodes       map[string]FleetRaftNode
	Revision        uint64        // of the fields below, which are the same for the whole fleet
	Lease           time.Duration // of a process; it expires after this time without contact
	Budgets         []FleetBudget
	Plans           []string      // plan files; a relative path starts at the folder of the operator's file
	Records         *FleetRecords // nil: none are kept
	ElectionTimeout time.Duration // after which a raft leader without contact is replaced
	DigestInterval  time.Duration // between comparisons of the replicas' digests
}

// FleetRaftNode holds the addresses at which this process reaches a raft node.
type FleetRaftNode struct{ RPCAddress, RaftAddress string }

// FleetBudget is a budget that all processes of the fleet share.
type FleetBudget struct {
	Of    string  // what it limits, one of BudgetKinds
	Name  string  // of the tenant, class or kind of member; empty for the kinds with one budget for all
	Total float64 // per second, or at the same time
	Burst float64 // largest burst, of a budget per second

	Floor      float64 // reserved for each of Floors processes that lose contact
	Floors     int
	FloorFor   time.Duration      // how long a process without contact may use its floor
	SettleTime time.Duration      // under_way: the longest life of a job; cold: how long a freed part stays unused
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
	BudgetJobs     = "jobs"      // jobs per second of a tenant
	BudgetRetries  = "retries"   // attempts after the first one per second, of a class
	BudgetUnderWay = "under_way" // concurrent jobs at members of a kind
	BudgetCold     = "cold"      // the work that may be sent to a cold member, as shares of one total
	BudgetProbes   = "probes"    // probes per second
)

// BudgetKinds holds all kinds of budgets.
var BudgetKinds = []string{BudgetJobs, BudgetRetries, BudgetUnderWay, BudgetCold, BudgetProbes}

// FleetRecords configures which records of finished jobs are kept.
type FleetRecords struct {
	Body    int // largest number of bytes of a result that are kept with its record
	Tenants map[string]RecordRule
}

// RecordRule limits the records that are kept for one tenant. A limit of 0 means no limit.
type RecordRule struct {
	Days        float64
	FailureDays float64 // for failures, if it is longer than Days
	Count       int
	Megabytes   int
}

// maxRaftNodes is the largest number of raft nodes.
const maxRaftNodes = 5

// fleet reads the configuration of the fleet.
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
	r.eachEntry("fleet.keepers", func(name string, k *reader) {
		at := FleetRaftNode{RPCAddress: k.text("calls"), RaftAddress: k.text("votes")}
		k.address("calls", at.RPCAddress)
		k.address("votes", at.RaftAddress)
		f.RaftNodes[name] = at
	})
	if n := len(f.RaftNodes); n != 1 && n != 3 && n != maxRaftNodes {
		r.fail("fleet.keepers", fmt.Errorf("there must be 1, 3 or %d keepers, not %d", maxRaftNodes, n))
	}
	if f.DataDir == "" {
		r.fail("fleet.folder", errors.New("must name a persistent folder"))
	}
	if (f.RPCAddress == "") != (f.RaftAddress == "") {
		r.fail("fleet.calls", errors.New("a keeper listens for calls and for votes, another process for neither"))
	}
	if f.RPCAddress != "" {
		r.address("fleet.calls", f.RPCAddress)
		r.address("fleet.votes", f.RaftAddress)
	}
	for i, v := range r.list("fleet.budgets") {
		at := r.sub(v, fmt.Sprintf("fleet.budgets[%d].", i))
		f.Budgets = append(f.Budgets, at.budget())
		r.addProblems(at)
	}
	if r.get("fleet.records", fastjson.TypeObject) != nil {
		f.Records = &FleetRecords{Body: int(r.count("fleet.records.body_bytes", 0)), Tenants: map[string]RecordRule{}}
		r.eachEntry("fleet.records.tenants", func(name string, t *reader) {
			f.Records.Tenants[name] = RecordRule{
				Days: t.nonNegative("days"), FailureDays: t.nonNegative("failure_days"), Count: int(t.count("count", 0)), Megabytes: int(t.count("megabytes", 0)),
			}
		})
	}
	return f
}

// budget reads a budget.
func (r *reader) budget() FleetBudget {
	b := FleetBudget{
		Of: r.text("of"), Name: r.text("name"), Total: r.nonNegative("whole"), Burst: r.nonNegative("burst"),
		Floor: r.nonNegative("floor"), Floors: int(r.count("floors", 0)), FloorFor: time.Duration(r.count("floor_for_s", 600)) * time.Second,
		SettleTime: time.Duration(r.count("linger_ms", 0)) * time.Millisecond, Weights: map[string]float64{},
	}
	switch single := b.Of == BudgetCold || b.Of == BudgetProbes; {
	case !slices.Contains(BudgetKinds, b.Of):
		r.fail("of", fmt.Errorf("%q: must be one of %s", b.Of, strings.Join(BudgetKinds, ", ")))
	case single && b.Name != "":
		r.fail("name", fmt.Errorf("there is one budget of %s, for all", b.Of))
	case !single && b.Name == "":
		r.fail("name", errors.New("must name a tenant, a class or a kind of member"))
	}
	if v := r.get("weights", fastjson.TypeObject); v != nil {
		weights := r.sub(v, "weights.")
		v.GetObject().Visit(func(name []byte, _ *fastjson.Value) {
			r.keysRead[r.prefix+"weights."+string(name)] = true
			b.Weights[string(name)] = weights.number(string(name))
		})
		r.addProblems(weights)
	}
	return b
}

// nonNegative reads a number that must not be negative.
func (r *reader) nonNegative(path string) float64 {
	x := r.number(path)
	if x < 0 {
		r.fail(path, errors.New("must not be negative"))
	}
	return x
}

// eachEntry calls read for each entry of an object of objects, with a reader of the entry. Names may contain
// dots; a name that begins with # is a comment.
func (r *reader) eachEntry(path string, read func(name string, at *reader)) {
	v := r.get(path, fastjson.TypeObject)
	if v == nil {
		return
	}
	v.GetObject().Visit(func(name []byte, at *fastjson.Value) {
		if strings.HasPrefix(string(name), "#") {
			return
		}
		r.keysRead[r.prefix+path+"."+string(name)] = true
		if at.Type() != fastjson.TypeObject {
			r.fail(path+"."+string(name), errors.New("must be an object"))
			return
		}
		sub := r.sub(at, path+"."+string(name)+".")
		read(string(name), sub)
		r.addProblems(sub)
	})
}
