package scenario

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Settings is the settings object of the tests. It has the classes of a fleet in production, and one
// dispatcher.
const Settings = `{"balancers":1,"rank":0,"registry_mode":"ask","worth_by":"work","zone":"hall","shapes":["std"],
"lanes":[{"name":"place-hold","effect":"deduplicated","key_scope":"cell","promise":400000000,"give_up":10000000000,"repeat_window":15000000000,"worth":10},
{"name":"group-ticket","effect":"at_most_once","key_scope":"all","promise":1000000000,"give_up":25000000000,"worth":2},
{"name":"send-notice","effect":"idempotent","key_scope":"all","promise":10000000000,"give_up":25000000000,"worth":1}],
"family_info":{"class_kind":[-1,-1,-1],"class_stretch":[2.5,2.5,2.5],"tells_start":true},
"limits":{"most_tries":3,"cancel":true,"probes":true,"retry_after":true,"max_retry_after":2000000000,"conn_idle":15000000000,"dial_timeout":250000000},
"guarantees":{"grace_to_answer":8000000,"ask_every":10000000000,"start_capacity":0.12,"warm_after":24000000000,"fall_multiple":4,"tip_after":3000000000}}`

// The limits of the machine in the configuration, unless a test sets others.
const (
	defaultMemory  = 192 // MB
	defaultSockets = 1024
)

// options are the settings with which the program is started.
type options struct {
	members         int
	operator        string // the operator's file; empty for none
	admin           string // the address of the admin API; empty for none
	settings        string
	memory, sockets int  // of the machine, in MB and descriptors
	enforceSockets  bool // whether the operating system enforces sockets
}

// defaultOptions returns the options of Start without an operator's file.
func defaultOptions(members int) options {
	return options{members: members, settings: Settings, memory: defaultMemory, sockets: defaultSockets}
}

// withAgent returns the options with member lists that are pushed to an agent.
func (o options) withAgent() options {
	o.settings = strings.Replace(o.settings, `"ask"`, `"push"`, 1)
	return o
}

// Start starts the program with the given number of pool members, r1, r2 and so on, in one cell. It returns
// the peers client, discovery, program, next, and one for each member; with an operator's file also faktory,
// agent and figures, whose addresses replace FAKTORY, AGENT and FIGURES in that file. The environment names
// the discovery service discovery, and the configuration another one, next, which is used after a reload.
func Start(t testing.TB, members int, operator string) Peers {
	t.Helper()
	o := defaultOptions(members)
	o.operator = operator
	return o.start(t)
}

// StartWithAgent is Start with member lists that are pushed to an agent. The peer discovery is the agent.
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

// StartWithAdmin is Start with the admin API, to which the peer door connects.
func StartWithAdmin(t testing.TB, members int) Peers {
	t.Helper()
	o := defaultOptions(members)
	o.admin = freeAddr(t)
	peers := o.start(t)
	peers["door"] = Dial(o.admin)
	return peers
}

// StartConstrained is Start, or StartWithAgent if agent is true, on a machine with the given memory, in MB,
// and number of descriptors. The operating system enforces the number of descriptors.
func StartConstrained(t testing.TB, members, memory, sockets int, agent bool) Peers {
	t.Helper()
	o := defaultOptions(members)
	if agent {
		o = o.withAgent()
	}
	o.memory, o.sockets, o.enforceSockets = memory, sockets, true
	return o.start(t)
}

// StartWithEnv starts the program with an operator's file and additional environment variables. It returns
// only the peer program.
func StartWithEnv(t testing.TB, operator string, env ...string) Peers {
	t.Helper()
	binary, err := Build()
	require.NoError(t, err)
	dir := t.TempDir()
	config := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":"127.0.0.1:1","settings":%s}`, freeAddr(t), Settings)
	return Peers{"program": StartProcessWith(t, binary, writeFile(t, dir, "config.json", config), "", env, nil,
		"-operator", writeFile(t, dir, "operator.json", operator))}
}

// StartWithConfig starts the program with a configuration file of the given text. It returns only the peer
// program.
func StartWithConfig(t testing.TB, config string) Peers {
	t.Helper()
	binary, err := Build()
	require.NoError(t, err)
	return Peers{"program": StartProcess(t, binary, writeFile(t, t.TempDir(), "config.json", config), "")}
}

// start starts the program with the options and returns its peers.
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

// configuration returns the text of the configuration file, and the address of the discovery service for
// the environment. It adds the peers of both.
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

// operatorFile returns the operator's file with the addresses of its peers filled in, and adds these peers.
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
