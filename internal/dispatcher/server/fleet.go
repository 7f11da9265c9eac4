package server

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
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
	"basaltloft/internal/dispatcher/fleet/spool"
	"basaltloft/internal/dispatcher/fleet/state"
	"basaltloft/internal/dispatcher/settings"

	"github.com/valyala/fastjson"
)

// fleet is this process's part of a fleet: an agent, and a Raft node if the operator's file lists this
// process as one. It implements adminapi.Fleet.
type fleet struct {
	agent       *agent.Agent
	planService *planService
	recorder    *recorder
	store       *recordstore.Store // of the Raft node; nil: none is open
	log         *slog.Logger

	components []*component                  // stopped in this order, after all other components of the process
	raftNode   atomic.Pointer[raftnode.Node] // nil: this process is no Raft node, or not yet
}

// leaveTimeout is how long a shutdown tries to notify the fleet that this process leaves.
const leaveTimeout = time.Second

// arrivalRateInterval is the time between two reports of this dispatcher's arrival rate to the agent. The
// budget of members that are warming up depends on it.
const arrivalRateInterval = 500 * time.Millisecond

// newFleet creates the parts of the fleet layer and their components.
func (s *Service) newFleet(f *settings.Fleet) (*fleet, error) {
	if f.Name == "" {
		f.Name = s.options.Config.Name
	}
	if f.Name == "" {
		return nil, fmt.Errorf("fleet.name: a process of a fleet needs a name")
	}
	_, isRaftNode := f.RaftNodes[f.Name]
	if isRaftNode != (f.RPCAddress != "") {
		return nil, fmt.Errorf("fleet.keepers: %q is to listen as a keeper exactly if it is named there", f.Name)
	}
	fleetSettings, expectedBudgets, err := fleetSettings(f)
	if err != nil {
		return nil, err
	}
	rpcAddresses := map[string]string{}
	for name, node := range f.RaftNodes {
		rpcAddresses[name] = node.RPCAddress
	}
	out := &fleet{log: s.log.With("fleet", f.Name)}
	out.agent = agent.New(agent.Settings{
		Process: f.Name, Version: "1", RaftNodes: rpcAddresses, FleetSettings: fleetSettings, ExpectedBudgets: expectedBudgets, Log: out.log,
	})
	if out.recorder, err = s.newRecorder(f, out); err != nil {
		return nil, err
	}
	if out.planService, err = s.newPlans(f, out); err != nil {
		return nil, err
	}
	out.components = append(out.components, &component{
		name: "fleet agent",
		serve: func(ctx context.Context, _ net.Listener) error {
			ctx, cancel := context.WithCancel(ctx)
			var reporting sync.WaitGroup
			defer reporting.Wait()
			defer cancel()
			reporting.Go(func() { s.reportArrivalRate(ctx, out.agent) })
			return out.agent.Run(ctx)
		},
		stop: func(ctx context.Context) error {
			ctx, cancel := context.WithDeadline(ctx, time.Now().Add(leaveTimeout))
			defer cancel()
			if err := out.agent.Leave(ctx); err != nil {
				s.log.Warn("could not leave the fleet; it will see the end of this process when the lease expires", "error", err)
			}
			return nil
		},
	})
	if isRaftNode {
		s.addRaftNode(f, out)
	}
	return out, nil
}

// StartPlan implements adminapi.Fleet.
func (f *fleet) StartPlan(ctx context.Context, a adminapi.PlanRequest) ([]byte, error) {
	return f.planService.StartPlan(ctx, a)
}

// RunStatus implements adminapi.Fleet.
func (f *fleet) RunStatus(ctx context.Context, id string) ([]byte, error) {
	return f.planService.RunStatus(ctx, id)
}

// Record implements adminapi.Fleet.
func (f *fleet) Record(ctx context.Context, id string) ([]byte, error) {
	return f.recorder.Record(ctx, id)
}

// Records implements adminapi.Fleet.
func (f *fleet) Records(ctx context.Context, q adminapi.RecordsQuery) ([]byte, error) {
	return f.recorder.Records(ctx, q)
}

// SetHold implements adminapi.Fleet.
func (f *fleet) SetHold(ctx context.Context, h adminapi.HoldRequest) error {
	return f.recorder.SetHold(ctx, h)
}

// Status implements adminapi.Fleet.
func (f *fleet) Status(context.Context) ([]byte, error) {
	status := f.agent.Status()
	var arena fastjson.Arena
	o := arena.NewObject()
	o.Set("process", arena.NewString(status.Process))
	o.Set("incarnation", arena.NewNumberString(fmt.Sprint(status.Incarnation)))
	o.Set("joined", arena.NewNumberString(fmt.Sprint(status.Joins)))
	o.Set("members", arena.NewNumberString(fmt.Sprint(status.Members)))
	o.Set("renewed_ms", arena.NewNumberString(fmt.Sprint(status.SinceRenewalMS)))
	if f.recorder.spool != nil {
		o.Set("spool", spoolJSON(&arena, f.recorder.spool.Stats()))
	}
	if node := f.raftNode.Load(); node != nil {
		o.Set("keeper", node.Status(&arena))
	}
	return o.MarshalTo(nil), nil
}

// spoolJSON returns the counters of the spool of records as JSON.
func spoolJSON(arena *fastjson.Arena, stats spool.Stats) *fastjson.Value {
	o := arena.NewObject()
	for name, n := range map[string]int64{
		"added": stats.Added, "dropped": stats.Dropped, "shipped": stats.Shipped, "lost": stats.Lost, "unsent": stats.Unsent,
		"failures": stats.Failures, "bytes": stats.Bytes, "lag_ms": stats.Lag(time.Now()).Milliseconds(),
	} {
		o.Set(name, arena.NewNumberString(fmt.Sprint(n)))
	}
	if stats.LastError != "" {
		o.Set("why", arena.NewString(stats.LastError))
	}
	return o
}

// addRaftNode adds the components of a Raft node: one for Raft itself, and one for the RPCs of the
// fleet's processes.
func (s *Service) addRaftNode(f *settings.Fleet, out *fleet) {
	ready := make(chan *raftnode.Node, 1)
	raft := &component{
		name: "fleet votes", listen: f.RaftAddress,
		serve: func(ctx context.Context, l net.Listener) error { return s.runRaftNode(ctx, l, f, out, ready) },
		stop: func(context.Context) error {
			if node := out.raftNode.Load(); node != nil {
				node.TransferLeadership()
			}
			return nil
		},
	}
	rpcs := &component{
		name: "fleet calls", listen: f.RPCAddress,
		serve: func(ctx context.Context, l net.Listener) error {
			select {
			case <-ctx.Done():
				_ = l.Close() // nothing was served on it
				return nil
			case node := <-ready:
				out.raftNode.Store(node)
				return serveRPC(ctx, l, node)
			}
		},
	}
	out.components = append(out.components, raft, rpcs)
}

// runRaftNode runs the Raft node on its listener until the context ends, together with the maintenance of
// the records that it stores. It sends the node on ready as soon as it is created.
func (s *Service) runRaftNode(ctx context.Context, l net.Listener, f *settings.Fleet, out *fleet, ready chan<- *raftnode.Node) error {
	peers := map[string]raftnode.Peer{}
	for name, node := range f.RaftNodes {
		peers[name] = raftnode.Peer{RPCAddr: node.RPCAddress, RaftAddr: node.RaftAddress}
	}
	node, err := raftnode.New(raftnode.Settings{
		Name: f.Name, DataDir: filepath.Join(f.DataDir, "keeper"), Peers: peers, RaftListener: l,
		ElectionTimeout: f.ElectionTimeout, DigestInterval: f.DigestInterval, Log: s.log,
		NewMachine: func() (*state.Machine, error) {
			stored, err := out.openStore(f.DataDir)
			if err != nil {
				return nil, err
			}
			return state.New(partition.NewBudgets(), partition.NewPlans(), stored), nil
		},
	})
	if err != nil {
		return err
	}
	ready <- node
	defer func() { _ = l.Close() }() // the node's transport closes it too
	var maintenance sync.WaitGroup
	defer maintenance.Wait()
	ctx, stopMaintenance := context.WithCancel(ctx)
	defer stopMaintenance() // runs before the wait: the node may end with an error of its own
	maintenance.Go(func() { out.recorder.enforceRetention(ctx) })
	maintenance.Go(func() { out.persistFence(ctx, f.DataDir) })
	err = node.Run(ctx)
	if out.store != nil {
		err = errors.Join(err, out.store.Close())
	}
	return err
}

// serveRPC serves the fleet's RPCs until the context ends.
func serveRPC(ctx context.Context, l net.Listener, node *raftnode.Node) error {
	server := &http.Server{Handler: node, ReadHeaderTimeout: 2 * time.Second, IdleTimeout: time.Minute}
	defer context.AfterFunc(ctx, func() { _ = server.Close() /* Serve returns in any case */ })()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serving the fleet's RPCs at %s: %w", l.Addr(), err)
	}
	return nil
}

// fleetSettings returns the settings of the whole fleet in the operator's file, and the names of its
// budgets.
func fleetSettings(f *settings.Fleet) (fleetSettings state.FleetSettings, budgetNames []string, err error) {
	budgets := budget.Config{Lease: f.Lease}
	for _, b := range f.Budgets {
		one := budget.Budget{
			Name: b.Key(), Kind: budget.Rate, Total: b.Total, Burst: b.Burst, Floor: b.Floor, FloorSlots: b.Floors,
			FloorDuration: b.FloorFor, SettleTime: b.SettleTime, Weights: b.Weights,
		}
		switch b.Of {
		case settings.BudgetUnderWay:
			one.Kind = budget.InFlight
		case settings.BudgetCold:
			one.Kind = budget.Divided
		}
		budgets.Budgets = append(budgets.Budgets, one)
		budgetNames = append(budgetNames, one.Name)
	}
	if err := budgets.Check(); err != nil {
		return fleetSettings, nil, fmt.Errorf("fleet.budgets: %w", err)
	}
	text, err := codec.Encode(budgets)
	if err != nil {
		return fleetSettings, nil, err
	}
	fleetSettings = state.FleetSettings{Revision: f.Revision, Lease: f.Lease, Partitions: map[string][]byte{partition.BudgetsName: text}}
	if f.Records != nil {
		rules := retentionRules(f.Records)
		slices.SortFunc(rules.Rules, func(a, b records.Rule) int { return strings.Compare(a.Tenant, b.Tenant) })
		if fleetSettings.Partitions[partition.RecordsName], err = codec.Encode(rules); err != nil {
			return fleetSettings, nil, err
		}
	}
	return fleetSettings, budgetNames, nil
}

// reportArrivalRate reports the number of jobs accepted per second to the agent, until the context ends.
func (s *Service) reportArrivalRate(ctx context.Context, a *agent.Agent) {
	ticker := time.NewTicker(arrivalRateInterval)
	defer ticker.Stop()
	last, at := int64(0), time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			var accepted int64
			s.engine.Do(func() { accepted = s.metrics.Ledger.Totals().Taken })
			a.SetArrivalRate(float64(accepted-last) / now.Sub(at).Seconds())
			last, at = accepted, now
		}
	}
}
