package settings

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fastjson"
)

// Fleet joins this process with others to a fleet.
type Fleet struct {
	Name            string // of this process among them; empty: the configuration's
	DataDir         string // what it keeps; it must last
	RPCAddress      string // a keeper: where processes' calls arrive
	RaftAddress     string // a keeper: where the other keepers' votes and logs arrive
	RaftNodes       map[string]FleetRaftNode
	Revision        uint64        // of what follows, which is one for the whole fleet
	Lease           time.Duration // a process that was not heard of for so long is out of force
	Budgets         []FleetBudget
	Plans           []string      // files of plans, from the operator's file's folder or absolute
	Records         *FleetRecords // nil: none are kept
	ElectionTimeout time.Duration // a silent leader of the keepers is replaced after this long
	DigestInterval  time.Duration // the replicas' digests are compared so often
}

// FleetRaftNode is where a keeper is reached from this process.
type FleetRaftNode struct{ RPCAddress, RaftAddress string }

// FleetBudget is what all processes together may spend.
type FleetBudget struct {
	Of    string // what it bounds, one of BudgetKinds
	Name  string // the tenant, class or kind of member that it is for; "" where there is one for all
	Whole float64
	Burst float64

	Floor    float64 // set aside for each of Floors processes that are cut off
	Floors   int
	FloorFor time.Duration
	Linger   time.Duration
	Weights  map[string]float64
}

// Key is the budget's name in the fleet.
func (b FleetBudget) Key() string {
	if b.Name == "" {
		return b.Of
	}
	return b.Of + "/" + b.Name
}

// What a budget may bound.
const (
	BudgetJobs     = "jobs"      // jobs a second, of a tenant
	BudgetRetries  = "retries"   // attempts beyond the first a second, of a class
	BudgetUnderWay = "under_way" // jobs under way at a time, at members of a kind
	BudgetCold     = "cold"      // what a cold member may be sent, as parts of one whole
	BudgetProbes   = "probes"    // probes a second
)

// BudgetKinds are all of those.
var BudgetKinds = []string{BudgetJobs, BudgetRetries, BudgetUnderWay, BudgetCold, BudgetProbes}

// FleetRecords says how long records of finished jobs are kept.
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

const mostKeepers = 5

func (r *reader) fleet() *Fleet {
	f := &Fleet{
		Name: r.text("fleet.name"), DataDir: r.text("fleet.folder"), RPCAddress: r.text("fleet.calls"), RaftAddress: r.text("fleet.votes"),
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
	if n := len(f.RaftNodes); n != 1 && n != 3 && n != 5 {
		r.fail("fleet.keepers", fmt.Errorf("there must be 1, 3 or %d keepers, not %d", mostKeepers, n))
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

func (r *reader) budget() FleetBudget {
	b := FleetBudget{
		Of: r.text("of"), Name: r.text("name"), Whole: r.positive("whole"), Burst: r.positive("burst"),
		Floor: r.positive("floor"), Floors: int(r.count("floors", 0)), FloorFor: time.Duration(r.count("floor_for_s", 600)) * time.Second,
		Linger: time.Duration(r.count("linger_ms", 0)) * time.Millisecond, Weights: map[string]float64{},
	}
	switch one := b.Of == BudgetCold || b.Of == BudgetProbes; {
	case !slices.Contains(BudgetKinds, b.Of):
		r.fail("of", fmt.Errorf("%q: must be one of %s", b.Of, strings.Join(BudgetKinds, ", ")))
	case one && b.Name != "":
		r.fail("name", fmt.Errorf("there is one budget of %s, for all", b.Of))
	case !one && b.Name == "":
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
