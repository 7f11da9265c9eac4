package scenario

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/fakes"

	"github.com/stretchr/testify/require"
)

// Build compiles the program once for all tests of a package, and returns its path,
// or that of another build to be measured beside this one, which BASALTLOFT_BINARY
// names.
func Build() (string, error) {
	if other := os.Getenv("BASALTLOFT_BINARY"); other != "" {
		return other, nil
	}
	return BuildTags("")
}

var builds sync.Map // by tags

// BuildTags is Build with build tags, of which each set is compiled once.
func BuildTags(tags string) (string, error) {
	build, _ := builds.LoadOrStore(tags, sync.OnceValues(func() (string, error) {
		dir, err := os.MkdirTemp("", "basaltloft")
		if err != nil {
			return "", err
		}
		out, err := exec.Command("go", append(append([]string{"build"}, buildFlags...), "-tags", tags, "-o", dir, "basaltloft/cmd/basaltloft")...).CombinedOutput()
		if err != nil {
			return "", fmt.Errorf("%w: %s", err, out)
		}
		return filepath.Join(dir, "basaltloft"), nil
	}))
	return build.(func() (string, error))()
}

// Listen is a peer that accepts: each new actor is the next connection to it.
func Listen(t testing.TB) (addr string, open func() (Conn, error)) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	return l.Addr().String(), func() (Conn, error) {
		l.(*net.TCPListener).SetDeadline(time.Now().Add(limit))
		return l.Accept()
	}
}

// Dial is a peer that is connected to.
func Dial(addr string) func() (Conn, error) {
	return func() (Conn, error) {
		for until := time.Now().Add(limit); ; {
			c, err := net.Dial("tcp", addr)
			if err == nil || time.Now().After(until) {
				return c, err
			}
		}
	}
}

// free is an address that nothing listens on.
func free(t testing.TB) string {
	addr, err := fakes.FreeAddr()
	require.NoError(t, err)
	return addr
}

// process is the started program as an actor: it is read from its log, send
// asks it to reload its configuration, in place of which a text is put first
// if there is one, close asks it to end, and wait takes its exit.
type process struct {
	*os.File
	cmd    *exec.Cmd
	config string
}

func (p process) Write(text []byte) (int, error) {
	if len(text) > 0 {
		if err := os.WriteFile(p.config, text, 0o600); err != nil {
			return 0, err
		}
	}
	return len(text), p.cmd.Process.Signal(syscall.SIGHUP)
}

func (p process) Close() error { return p.cmd.Process.Signal(syscall.SIGTERM) }
func (p process) Wait() error  { return p.cmd.Wait() }

// Settings is the settings object of the tests: a bay's classes as they are in
// service, with one dispatcher.
const Settings = `{"balancers":1,"rank":0,"registry_mode":"ask","worth_by":"work","zone":"hall","shapes":["std"],
"lanes":[{"name":"place-hold","effect":"deduplicated","key_scope":"cell","promise":400000000,"give_up":10000000000,"repeat_window":15000000000,"worth":10},
{"name":"group-ticket","effect":"at_most_once","key_scope":"all","promise":1000000000,"give_up":25000000000,"worth":2},
{"name":"send-notice","effect":"idempotent","key_scope":"all","promise":10000000000,"give_up":25000000000,"worth":1}],
"family_info":{"class_kind":[-1,-1,-1],"class_stretch":[2.5,2.5,2.5],"tells_start":true},
"limits":{"most_tries":3,"cancel":true,"probes":true,"retry_after":true,"max_retry_after":2000000000,"conn_idle":15000000000,"dial_timeout":250000000},
"guarantees":{"grace_to_answer":8000000,"ask_every":10000000000,"start_capacity":0.12,"warm_after":24000000000,"fall_multiple":4,"tip_after":3000000000}}`

// Start starts the program with so many pool members, r1, r2 and so on, in one
// cell. Its cast: client, discovery, the members, and program itself; with an
// operator's file, in which FAKTORY, AGENT and FIGURES stand for addresses, also
// faktory, agent and figures. What the environment calls discovery is another service
// than the configuration does: that one, next, is for a reload.
func Start(t testing.TB, members int, operator string) Peers {
	t.Helper()
	return start(t, members, operator, "")
}

// StartWithAgent is Start where lists are pushed to an agent, which is the actor discovery.
func StartWithAgent(t testing.TB, members int) Peers {
	t.Helper()
	return startWith(t, members, "", "", strings.Replace(Settings, `"ask"`, `"push"`, 1))
}

// StartWithSettings is Start with other settings.
func StartWithSettings(t testing.TB, members int, settings string) Peers {
	t.Helper()
	return startWith(t, members, "", "", settings)
}

// StartWithAdmin is Start with the operators' door, which door in the cast dials.
func StartWithAdmin(t testing.TB, members int) Peers {
	t.Helper()
	admin := free(t)
	cast := start(t, members, "", admin)
	cast["door"] = Dial(admin)
	return cast
}

// StartConstrained is Start, or StartPushed, on a machine of so much memory, in MB, and so many
// descriptors, which the system enforces.
func StartConstrained(t testing.TB, members, memory, sockets int, pushed bool) Peers {
	t.Helper()
	settings := Settings
	if pushed {
		settings = strings.Replace(settings, `"ask"`, `"push"`, 1)
	}
	return startWith(t, members, "", "", settings, memory, sockets)
}

func start(t testing.TB, members int, operator, admin string) Peers {
	t.Helper()
	return startWith(t, members, operator, admin, Settings)
}

// startWith starts the program; the machine is its memory and its descriptors, if
// they are not the usual ones.
func startWith(t testing.TB, members int, operator, admin, settings string, machine ...int) Peers {
	t.Helper()
	memory, sockets := 192, 1024
	if len(machine) > 0 {
		memory, sockets = machine[0], machine[1]
	}
	binary, err := Build()
	require.NoError(t, err)
	dir, cast := t.TempDir(), Peers{}
	var listed []string
	for i := 1; i <= members; i++ {
		addr, open := Listen(t)
		name := fmt.Sprintf("r%d", i)
		cast[name] = open
		listed = append(listed, fmt.Sprintf(`{"instanceId":"s-%s","hostPort":%q,"zone":"hall","machineType":"std","cell":0,"lifecycle":"active","weight":1,"startedAtMs":0}`, name, addr))
	}
	discovery, open := Listen(t)
	cast["discovery"] = open
	next, open := Listen(t)
	cast["next"] = open
	listen := free(t)
	cast["client"] = Dial(listen)
	config := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"admin":%q,"seed":"8c1f30d27a5be964","limits":{"cores":1,"memory_mb":%d,"sockets":%d},"known":{"generation":41,"reset":true,"instances":[%s]},"settings":%s}`,
		listen, next, admin, memory, sockets, strings.Join(listed, ","), settings)
	require.True(t, json.Valid([]byte(config)))
	var args []string
	if operator != "" {
		var addresses []string
		for _, peer := range []string{"faktory", "agent", "figures"} {
			at := free(t)
			cast[peer] = Dial(at)
			addresses = append(addresses, strings.ToUpper(peer), at)
		}
		args = []string{"-operator", file(t, dir, "operator.json", strings.NewReplacer(addresses...).Replace(operator))}
	}
	if len(machine) > 0 {
		binary, args = "/bin/sh", append([]string{"-c", `ulimit -n "$0" && exec "$@"`, strconv.Itoa(sockets), binary}, args...)
	}
	cast["program"] = StartProcess(t, binary, file(t, dir, "config.json", config), discovery, args...)
	return cast
}

// PID is the process's id.
func (p process) PID() int { return p.cmd.Process.Pid }

// Dump ends the program with the stacks of all goroutines in its log.
func (p process) Dump() error { return p.cmd.Process.Signal(syscall.SIGQUIT) }

// StartWithEnv starts the program with an operator's file and more of the environment.
func StartWithEnv(t testing.TB, operator string, env ...string) Peers {
	binary, err := Build()
	require.NoError(t, err)
	dir := t.TempDir()
	config := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":"127.0.0.1:1","settings":%s}`, free(t), Settings)
	return Peers{"program": StartProcessWith(t, binary, file(t, dir, "config.json", config), "", env, nil, "-operator", file(t, dir, "operator.json", operator))}
}

// StartWithConfig starts the program with a configuration of any kind.
func StartWithConfig(t testing.TB, config string) Peers {
	binary, err := Build()
	require.NoError(t, err)
	return Peers{"program": StartProcess(t, binary, file(t, t.TempDir(), "config.json", config), "")}
}

// StartProcess starts a process and ends it with the test.
func StartProcess(t testing.TB, binary, config, discovery string, args ...string) func() (Conn, error) {
	return StartProcessWith(t, binary, config, discovery, nil, nil, args...)
}

// StartProcessWith is Run with more of the environment, and descriptors from 3 on.
func StartProcessWith(t testing.TB, binary, config, discovery string, env []string, files []*os.File, args ...string) func() (Conn, error) {
	read, write, err := os.Pipe()
	require.NoError(t, err)
	cmd := exec.Command(binary, args...)
	cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+config, "ROUTER_LISTEN=", "ROUTER_DISCOVERY="+discovery, "ROUTER_NAME=", "ROUTER_ADMIN=",
		"TMPDIR="+filepath.Dir(config)) // what a process keeps for the next is the test's
	cmd.Env, cmd.ExtraFiles = append(cmd.Env, env...), files
	cmd.Stdout, cmd.Stderr = write, write
	require.NoError(t, cmd.Start())
	write.Close()
	t.Cleanup(func() {
		cmd.Process.Kill()
		cmd.Wait()
		read.Close()
	})
	return func() (Conn, error) { return process{read, cmd, config}, nil }
}

func file(t testing.TB, dir, name, text string) string {
	path := filepath.Join(dir, name)
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}
