package scenario

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Settings is the settings object of the tests: the classes of a fleet in service, with
// one dispatcher.
const Settings = `{"balancers":1,"rank":0,"registry_mode":"ask","worth_by":"work","zone":"hall","shapes":["std"],
"lanes":[{"name":"place-hold","effect":"deduplicated","key_scope":"cell","promise":400000000,"give_up":10000000000,"repeat_window":15000000000,"worth":10},
{"name":"group-ticket","effect":"at_most_once","key_scope":"all","promise":1000000000,"give_up":25000000000,"worth":2},
{"name":"send-notice","effect":"idempotent","key_scope":"all","promise":10000000000,"give_up":25000000000,"worth":1}],
"family_info":{"class_kind":[-1,-1,-1],"class_stretch":[2.5,2.5,2.5],"tells_start":true},
"limits":{"most_tries":3,"cancel":true,"probes":true,"retry_after":true,"max_retry_after":2000000000,"conn_idle":15000000000,"dial_timeout":250000000},
"guarantees":{"grace_to_answer":8000000,"ask_every":10000000000,"start_capacity":0.12,"warm_after":24000000000,"fall_multiple":4,"tip_after":3000000000}}`

// The machine that a configuration describes, if a test does not.
const (
	defaultMemory  = 192 // MB
	defaultSockets = 1024
)

// options are what the program is started with.
type options struct {
	members         int
	operator        string // the operator's file; empty: none
	admin           string // the address of the admin API; empty: none
	settings        string
	memory, sockets int  // of the machine, in MB and descriptors
	enforceSockets  bool // by the system
}

func defaultOptions(members int) options {
	return options{members: members, settings: Settings, memory: defaultMemory, sockets: defaultSockets}
}

// withAgent lets lists be pushed to an agent.
func (o options) withAgent() options {
	o.settings = strings.Replace(o.settings, `"ask"`, `"push"`, 1)
	return o
}

// Start starts the program with as many pool members, r1, r2 and so on, in one cell. Its
// peers are client, discovery, the members, and program itself; with an operator's file, in
// which FAKTORY, AGENT and FIGURES stand for addresses, also faktory, agent and figures.
// The environment names another discovery service than the configuration: that of the
// configuration, the peer next, is in use after a reload.
func Start(t testing.TB, members int, operator string) Peers {
	t.Helper()
	o := defaultOptions(members)
	o.operator = operator
	return o.start(t)
}

// StartWithAgent is Start where lists are pushed to an agent, which is the peer discovery.
func StartWithAgent(t testing.TB, members int) Peers {
	t.Helper()
	return defaultOptions(members).withAgent().start(t)
}

// StartWithSettings is Start with another settings object.
func StartWithSettings(t testing.TB, members int, settings string) Peers {
	t.Helper()
	o := defaultOptions(members)
	o.settings = settings
	return o.start(t)
}

// StartWithAdmin is Start with the admin API, which is the peer door.
func StartWithAdmin(t testing.TB, members int) Peers {
	t.Helper()
	o := defaultOptions(members)
	o.admin = freeAddr(t)
	peers := o.start(t)
	peers["door"] = Dial(o.admin)
	return peers
}

// StartConstrained is Start, or StartWithAgent, on a machine with as much memory, in MB,
// and as many descriptors, which the system enforces.
func StartConstrained(t testing.TB, members, memory, sockets int, agent bool) Peers {
	t.Helper()
	o := defaultOptions(members)
	if agent {
		o = o.withAgent()
	}
	o.memory, o.sockets, o.enforceSockets = memory, sockets, true
	return o.start(t)
}

// StartWithEnv starts the program with an operator's file and more of the environment. Its
// only peer is program.
func StartWithEnv(t testing.TB, operator string, env ...string) Peers {
	t.Helper()
	binary, err := Build()
	require.NoError(t, err)
	dir := t.TempDir()
	config := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":"127.0.0.1:1","settings":%s}`, freeAddr(t), Settings)
	return Peers{"program": StartProcessWith(t, binary, writeFile(t, dir, "config.json", config), "", env, nil,
		"-operator", writeFile(t, dir, "operator.json", operator))}
}

// StartWithConfig starts the program with a configuration file of any text. Its only peer
// is program.
func StartWithConfig(t testing.TB, config string) Peers {
	t.Helper()
	binary, err := Build()
	require.NoError(t, err)
	return Peers{"program": StartProcess(t, binary, writeFile(t, t.TempDir(), "config.json", config), "")}
}

func (o options) start(t testing.TB) Peers {
	t.Helper()
	binary, err := Build()
	require.NoError(t, err)
	dir, peers := t.TempDir(), Peers{}
	config, discovery := o.configuration(t, peers)
	var args []string
	if o.operator != "" {
		args = []string{"-operator", writeFile(t, dir, "operator.json", o.operatorFile(t, peers))}
	}
	if o.enforceSockets {
		binary, args = "/bin/sh", append([]string{"-c", `ulimit -n "$0" && exec "$@"`, strconv.Itoa(o.sockets), binary}, args...)
	}
	peers["program"] = StartProcess(t, binary, writeFile(t, dir, "config.json", config), discovery, args...)
	return peers
}

// configuration returns the configuration file and the address of discovery in the
// environment, and adds the peers of both.
func (o options) configuration(t testing.TB, peers Peers) (config, discovery string) {
	t.Helper()
	listed := make([]string, o.members)
	for i := range listed {
		name := fmt.Sprintf("r%d", i+1)
		addr, open := Listen(t)
		peers[name] = open
		listed[i] = fmt.Sprintf(`{"instanceId":"s-%s","hostPort":%q,"zone":"hall","machineType":"std","cell":0,"lifecycle":"active","weight":1,"startedAtMs":0}`, name, addr)
	}
	discovery, open := Listen(t)
	peers["discovery"] = open
	next, open := Listen(t)
	peers["next"] = open
	listen := freeAddr(t)
	peers["client"] = Dial(listen)
	config = fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"admin":%q,"seed":"8c1f30d27a5be964","limits":{"cores":1,"memory_mb":%d,"sockets":%d},"known":{"generation":41,"reset":true,"instances":[%s]},"settings":%s}`,
		listen, next, o.admin, o.memory, o.sockets, strings.Join(listed, ","), o.settings)
	require.True(t, json.Valid([]byte(config)))
	return config, discovery
}

// operatorFile is the operator's file with the addresses of its peers, which it adds.
func (o options) operatorFile(t testing.TB, peers Peers) string {
	t.Helper()
	var replacements []string
	for _, peer := range []string{"faktory", "agent", "figures"} {
		addr := freeAddr(t)
		peers[peer] = Dial(addr)
		replacements = append(replacements, strings.ToUpper(peer), addr)
	}
	return strings.NewReplacer(replacements...).Replace(o.operator)
}
