package server

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"basaltloft/internal/dispatcher/adminapi"
	"basaltloft/internal/dispatcher/fleet/agent"
	"basaltloft/internal/dispatcher/fleet/budget"
	"basaltloft/internal/dispatcher/fleet/codec"
	"basaltloft/internal/dispatcher/fleet/partition"
	"basaltloft/internal/dispatcher/fleet/raftnode"
	"basaltloft/internal/dispatcher/fleet/records"
	"basaltloft/internal/dispatcher/fleet/recordstore"
	"basaltloft/internal/dispatcher/fleet/state"
	"basaltloft/internal/dispatcher/settings"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fastjson"
)

// fleet is this process's part in a fleet: always an agent, and a keeper where the
// operator's file says so.
type fleet struct {
	agent       *agent.Agent
	planService *planService
	recorder    *recorder
	store       *recordstore.Store // of its keeper; nil: none is open
	log         *logrus.Entry

	components []*component                  // they stop after all others, in this order
	raftNode   atomic.Pointer[raftnode.Node] // nil: this process keeps nothing for others, or not yet
}

// leaveTimeout is how long a planned end waits to say that this process leaves.
const leaveTimeout = time.Second

// arrivalRateInterval is how often a dispatcher's traffic is told to the budget of cold members.
const arrivalRateInterval = 500 * time.Millisecond

// newFleet makes the parts of the fleet layer and their components.
func (s *Service) newFleet(f *settings.Fleet) (*fleet, error) {
	if f.Name == "" {
		f.Name = s.options.Config.Name
	}
	if f.Name == "" {
		return nil, fmt.Errorf("fleet.name: a process of a fleet needs a name")
	}
	_, keeps := f.RaftNodes[f.Name]
	if keeps != (f.RPCAddress != "") {
		return nil, fmt.Errorf("fleet.keepers: %q is to listen as a keeper exactly if it is named there", f.Name)
	}
	set, expect, err := fleetSettings(f)
	if err != nil {
		return nil, err
	}
	calls := map[string]string{}
	for name, k := range f.RaftNodes {
		calls[name] = k.RPCAddress
	}
	out := &fleet{log: s.log.WithField("fleet", f.Name), agent: agent.New(agent.Settings{Process: f.Name, Version: "1", RaftNodes: calls, FleetSettings: set, ExpectedBudgets: expect, Log: s.log.WithField("fleet", f.Name)})}
	if out.recorder, err = s.newRecorder(f, out); err != nil {
		return nil, err
	}
	if out.planService, err = s.newPlans(f, out); err != nil {
		return nil, err
	}
	out.components = append(out.components, &component{
		name: "fleet agent",
		serve: func(ctx context.Context, _ net.Listener) error {
			go s.reportArrivalRate(ctx, out.agent)
			return out.agent.Run(ctx)
		},
		stop: func(ctx context.Context) error {
			ctx, cancel := context.WithDeadline(ctx, time.Now().Add(leaveTimeout))
			defer cancel()
			if err := out.agent.Leave(ctx); err != nil {
				s.log.WithError(err).Warn("the fleet finds out by the lease that this process has ended")
			}
			return nil
		},
	})
	if keeps {
		s.addRaftNode(f, out)
	}
	return out, nil
}

// StartPlan implements door.Fleet.
func (f *fleet) StartPlan(ctx context.Context, a adminapi.PlanRequest) ([]byte, error) {
	return f.planService.StartPlan(ctx, a)
}

// RunStatus implements door.Fleet.
func (f *fleet) RunStatus(ctx context.Context, id string) ([]byte, error) {
	return f.planService.RunStatus(ctx, id)
}

// Record, Records and Hold implement door.Fleet.
func (f *fleet) Record(ctx context.Context, id string) ([]byte, error) {
	return f.recorder.Record(ctx, id)
}

func (f *fleet) Records(ctx context.Context, q adminapi.RecordsQuery) ([]byte, error) {
	return f.recorder.Records(ctx, q)
}

func (f *fleet) SetHold(ctx context.Context, h adminapi.HoldRequest) error {
	return f.recorder.SetHold(ctx, h)
}

// Status implements door.Fleet.
func (f *fleet) Status(context.Context) ([]byte, error) {
	a := f.agent.Status()
	var arena fastjson.Arena
	o := arena.NewObject()
	o.Set("process", arena.NewString(a.Process))
	o.Set("incarnation", arena.NewNumberString(fmt.Sprint(a.Incarnation)))
	o.Set("joined", arena.NewNumberString(fmt.Sprint(a.Joins)))
	o.Set("members", arena.NewNumberString(fmt.Sprint(a.Members)))
	o.Set("renewed_ms", arena.NewNumberString(fmt.Sprint(a.SinceRenewalMS)))
	if p := f.recorder.spool; p != nil {
		r, now := p.Stats(), time.Now()
		spooled := arena.NewObject()
		for name, n := range map[string]int64{"added": r.Added, "dropped": r.Dropped, "shipped": r.Shipped, "lost": r.Lost, "unsent": r.Unsent,
			"failures": r.Failures, "bytes": r.Bytes, "lag_ms": r.Lag(now).Milliseconds()} {
			spooled.Set(name, arena.NewNumberString(fmt.Sprint(n)))
		}
		if r.LastError != "" {
			spooled.Set("why", arena.NewString(r.LastError))
		}
		o.Set("spool", spooled)
	}
	if k := f.raftNode.Load(); k != nil {
		o.Set("keeper", k.Status(&arena))
	}
	return o.MarshalTo(nil), nil
}

// addRaftNode adds the components of a keeper.
func (s *Service) addRaftNode(f *settings.Fleet, out *fleet) {
	votes := &component{name: "fleet votes", listen: f.RaftAddress}
	peers := map[string]raftnode.Peer{}
	for name, k := range f.RaftNodes {
		peers[name] = raftnode.Peer{RPCAddr: k.RPCAddress, RaftAddr: k.RaftAddress}
	}
	ready := make(chan *raftnode.Node, 1)
	votes.serve = func(ctx context.Context, l net.Listener) error {
		k, err := raftnode.New(raftnode.Settings{
			Name: f.Name, Folder: filepath.Join(f.DataDir, "keeper"), Peers: peers, RaftListener: l, ElectionTimeout: f.ElectionTimeout, DigestInterval: f.DigestInterval, Log: s.log,
			NewMachine: func() (*state.Machine, error) {
				kept, err := out.openStore(f.DataDir)
				if err != nil {
					return nil, err
				}
				return state.New(partition.NewBudgets(), partition.NewPlans(), kept), nil
			},
		})
		if err != nil {
			return err
		}
		ready <- k
		defer l.Close()
		var all sync.WaitGroup
		defer all.Wait()
		all.Go(func() { out.recorder.enforceRetention(ctx) })
		all.Go(func() { out.persistFence(ctx, f.DataDir) })
		err = k.Run(ctx)
		if out.store != nil {
			err = errors.Join(err, out.store.Close())
		}
		return err
	}
	votes.stop = func(context.Context) error {
		if k := out.raftNode.Load(); k != nil {
			k.TransferLeadership()
		}
		return nil
	}
	out.components = append(out.components, votes, &component{
		name: "fleet calls", listen: f.RPCAddress,
		serve: func(ctx context.Context, l net.Listener) error {
			select {
			case <-ctx.Done():
				l.Close()
				return nil
			case k := <-ready:
				out.raftNode.Store(k)
			}
			server := &http.Server{Handler: out.raftNode.Load(), ReadHeaderTimeout: 2 * time.Second, IdleTimeout: time.Minute}
			defer context.AfterFunc(ctx, func() { server.Close() })()
			if err := server.Serve(l); err != http.ErrServerClosed {
				return fmt.Errorf("the fleet's calls at %s: %w", l.Addr(), err)
			}
			return nil
		},
	})
}

// fleetSettings are what the operator's file says for the whole fleet, and the
// budgets that it names.
func fleetSettings(f *settings.Fleet) (set state.FleetSettings, expect []string, err error) {
	budgets := budget.Config{Lease: f.Lease}
	for _, b := range f.Budgets {
		one := budget.Budget{
			Name: b.Key(), Kind: budget.Rate, Total: b.Whole, Burst: b.Burst, Floor: b.Floor, FloorSlots: b.Floors, FloorDuration: b.FloorFor, SettleTime: b.Linger, Weights: b.Weights,
		}
		switch b.Of {
		case settings.BudgetUnderWay:
			one.Kind = budget.InFlight
		case settings.BudgetCold:
			one.Kind = budget.Divided
		}
		budgets.Budgets = append(budgets.Budgets, one)
		expect = append(expect, one.Name)
	}
	if err := budgets.Check(); err != nil {
		return set, nil, fmt.Errorf("fleet.budgets: %w", err)
	}
	text, err := codec.Encode(budgets)
	if err != nil {
		return set, nil, err
	}
	set = state.FleetSettings{Revision: f.Revision, Lease: f.Lease, Partitions: map[string][]byte{partition.BudgetsName: text}}
	if f.Records != nil {
		rules := retentionRules(f.Records)
		slices.SortFunc(rules.Rules, func(a, b records.Rule) int { return strings.Compare(a.Tenant, b.Tenant) })
		if set.Partitions[partition.RecordsName], err = codec.Encode(rules); err != nil {
			return set, nil, err
		}
	}
	return set, expect, nil
}

// reportArrivalRate tells how many jobs a second come here, by the account.
func (s *Service) reportArrivalRate(ctx context.Context, a *agent.Agent) {
	tick := time.NewTicker(arrivalRateInterval)
	defer tick.Stop()
	last, at := int64(0), time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			var taken int64
			s.engine.Do(func() { taken = s.metrics.Ledger.Totals().Taken })
			a.SetArrivalRate(float64(taken-last) / now.Sub(at).Seconds())
			last, at = taken, now
		}
	}
}
