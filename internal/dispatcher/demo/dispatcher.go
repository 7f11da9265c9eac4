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

// ShutdownSignal is the signal at which a dispatcher shuts down gracefully.
const ShutdownSignal = syscall.SIGTERM

// settingsFormat is the format of the platform's settings object for one dispatcher; its arguments are
// the number of dispatchers and the rank of this one. It configures the two classes of the guided tours,
// and the class of notices, which is idempotent.
const settingsFormat = `{"balancers":%d,"rank":%d,"registry_mode":"ask","worth_by":"work","zone":"hall","shapes":["std"],
"tenants":[{"name":"hrad-kamenec"},{"name":"jaskyna-dolina"},{"name":"hrad-vysoka"}],
"lanes":[{"name":"place-hold","effect":"deduplicated","key_scope":"cell","promise":400000000,"give_up":10000000000,"repeat_window":15000000000,"worth":10},
{"name":"group-ticket","effect":"at_most_once","key_scope":"all","promise":1000000000,"give_up":25000000000,"worth":2},
{"name":"send-notice","effect":"idempotent","key_scope":"all","promise":10000000000,"give_up":25000000000,"worth":1}],
"family_info":{"class_kind":[-1,-1,-1],"class_stretch":[2.5,2.5,2.5],"tells_start":true},
"limits":{"most_tries":3,"cancel":true,"probes":true,"retry_after":true,"max_retry_after":2000000000,"conn_idle":15000000000,"dial_timeout":250000000},
"guarantees":{"grace_to_answer":8000000,"ask_every":10000000000,"start_capacity":0.12,"warm_after":24000000000,"fall_multiple":4,"tip_after":3000000000}}`

// Dispatcher is the platform's configuration of one dispatcher of several.
type Dispatcher struct {
	Name, Listen, Discovery, Admin string
	Rank, Count                    int
	InitialMembers                 []fakes.Instance // the pool members in its configuration file
}

// Configuration returns the text of the dispatcher's configuration file.
func (d Dispatcher) Configuration() string {
	members, err := json.Marshal(d.InitialMembers)
	if err != nil { // a NaN weight, which no fake has
		panic(err)
	}
	return fmt.Sprintf(`{"name":%q,"listen":%q,"discovery":%q,"admin":%q,"seed":"8c1f30d27a5be964","limits":{"cores":1,"memory_mb":192,"sockets":1024},`+
		`"known":{"generation":0,"reset":true,"instances":%s},"settings":%s}`, d.Name, d.Listen, d.Discovery, d.Admin, members, fmt.Sprintf(settingsFormat, d.Count, d.Rank))
}

// Command returns the command, not yet started, that runs the program as this dispatcher. It writes
// the dispatcher's files to the directory home, which also contains its $TMPDIR. If operator is empty, the
// dispatcher gets no operator's file. The caller ends the process.
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

// OpenMembersFor opens an address at each member for one dispatcher of several, and starts a discovery
// service that lists these addresses. reportTo returns the dispatcher's address.
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
