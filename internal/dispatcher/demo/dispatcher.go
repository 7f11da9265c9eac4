package demo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	"basaltloft/internal/dispatcher/fakes"
)

// ShutdownSignal is the signal that ends a dispatcher in order.
const ShutdownSignal = syscall.SIGTERM

// settingsFormat is the settings object of the platform for one dispatcher, by their count
// and its rank: the two classes of the guided tours, and notices, which are idempotent.
const settingsFormat = `{"balancers":%d,"rank":%d,"registry_mode":"ask","worth_by":"work","zone":"hall","shapes":["std"],
"tenants":[{"name":"hrad-kamenec"},{"name":"jaskyna-dolina"},{"name":"hrad-vysoka"}],
"lanes":[{"name":"place-hold","effect":"deduplicated","key_scope":"cell","promise":400000000,"give_up":10000000000,"repeat_window":15000000000,"worth":10},
{"name":"group-ticket","effect":"at_most_once","key_scope":"all","promise":1000000000,"give_up":25000000000,"worth":2},
{"name":"send-notice","effect":"idempotent","key_scope":"all","promise":10000000000,"give_up":25000000000,"worth":1}],
"family_info":{"class_kind":[-1,-1,-1],"class_stretch":[2.5,2.5,2.5],"tells_start":true},
"limits":{"most_tries":3,"cancel":true,"probes":true,"retry_after":true,"max_retry_after":2000000000,"conn_idle":15000000000,"dial_timeout":250000000},
"guarantees":{"grace_to_answer":8000000,"ask_every":10000000000,"start_capacity":0.12,"warm_after":24000000000,"fall_multiple":4,"tip_after":3000000000}}`

// Dispatcher is what the platform configures for one dispatcher of several.
type Dispatcher struct {
	Name, Listen, Discovery, Admin string
	Rank, Count                    int
	InitialMembers                 []fakes.Instance // that it knows from the start
}

// Configuration is the text of its configuration file.
func (d Dispatcher) Configuration() string {
	members, err := json.Marshal(d.InitialMembers)
	if err != nil { // a NaN weight, which no fake has
		panic(err)
	}
	return fmt.Sprintf(`{"name":%q,"listen":%q,"discovery":%q,"admin":%q,"seed":"8c1f30d27a5be964","limits":{"cores":1,"memory_mb":192,"sockets":1024},`+
		`"known":{"generation":0,"reset":true,"instances":%s},"settings":%s}`, d.Name, d.Listen, d.Discovery, d.Admin, members, fmt.Sprintf(settingsFormat, d.Count, d.Rank))
}

// Command returns the program, not yet started, as this dispatcher. Its files are written
// to the directory home, in which its $TMPDIR is too. An empty operator's file is none. The
// caller ends the process.
func (d Dispatcher) Command(program, home, operator string, args ...string) (*exec.Cmd, error) {
	config, tmp := filepath.Join(home, "config.json"), filepath.Join(home, "tmp")
	if err := errors.Join(os.MkdirAll(tmp, 0o700), os.WriteFile(config, []byte(d.Configuration()), 0o600)); err != nil {
		return nil, err
	}
	if operator != "" {
		file := filepath.Join(home, "operator.json")
		if err := os.WriteFile(file, []byte(operator), 0o600); err != nil {
			return nil, err
		}
		args = append(args, "--operator", file)
	}
	cmd := exec.CommandContext(context.Background(), program, args...) // ended by a signal
	cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+config, "ROUTER_LISTEN=", "ROUTER_DISCOVERY=", "ROUTER_NAME=", "ROUTER_ADMIN=", "TMPDIR="+tmp)
	return cmd, nil
}

// OpenMembersFor opens an address of each member for one dispatcher of several, and a
// discovery service that lists these. reportTo is the dispatcher's address.
func OpenMembersFor(members []*fakes.Member, dispatcher string, reportTo func() string) (list []fakes.Instance, d *fakes.Discovery, err error) {
	for _, m := range members {
		instance, err := m.OpenFor(dispatcher, reportTo)
		if err != nil {
			return nil, nil, err
		}
		list = append(list, instance)
	}
	d, err = fakes.NewDiscovery(list...)
	return list, d, err
}
