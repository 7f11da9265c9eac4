package settings

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"net"
	"strconv"
	"time"

	"basaltloft/internal/dispatcher/policy"
	"basaltloft/internal/shared/saturating"

	"github.com/valyala/fastjson"
)

// Config is the program's configuration.
type Config struct {
	Name, Listen, Discovery string
	Admin                   string // where the admin API listens; empty: off
	AcceptFD                int    // an open listening socket for the clients, from $ROUTER_ACCEPT_FD; 0: bind Listen
	Cores                   float64
	MemoryMB, Sockets       int
	LastMembership          List // the platform's membership at the start of the process
	Settings                policy.Settings
	Tenants                 []string // names of the tenants in the settings
	// ReportsLoad is whether members report their load (reporting.via is not silent and reporting.columns
	// is not empty): in replies to probes, and if via is piggyback also in answers and callbacks.
	ReportsLoad    bool
	ConnectTimeout time.Duration // of connections to members
}

// List is the list of members that discovery returns, or the changes to such a list.
type List struct {
	Generation int64 // version of the list
	Complete   bool  // the list has all members, not only the changed ones
	Entries    []Entry
}

// Entry is one member of a list.
type Entry struct {
	ID, Addr, Kind, Zone string
	Cell                 int // below 0: not in the list; no other member has the same one
	State                policy.MemberState
	Weight               float64
	Started              time.Time // zero means long ago
}

// DecodeConfig reads the program's configuration and checks it.
func DecodeConfig(text []byte) (Config, error) {
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return Config{}, fmt.Errorf("configuration: %w", err)
	}
	c, r := decodeConfig(v)
	if err := r.err(); err != nil {
		return c, fmt.Errorf("configuration: %w", err)
	}
	return c, nil
}

// decodeConfig returns the configuration, and the reader with its problems.
func decodeConfig(v *fastjson.Value) (Config, *reader) {
	r := newReader(v)
	c := Config{
		Name: r.text("name"), Listen: r.text("listen"), Discovery: r.text("discovery"), Admin: r.text("admin"),
		Cores: r.number("limits.cores"), MemoryMB: saturating.Int(r.number("limits.memory_mb")),
		Sockets:        saturating.Int(r.number("limits.sockets")),
		ConnectTimeout: cmp.Or(r.span("settings.limits.dial_timeout"), time.Second),
	}
	c.ReportsLoad = string(v.GetStringBytes("settings", "reporting", "via")) != "silent" &&
		len(v.GetArray("settings", "reporting", "columns")) > 0
	for _, t := range v.GetArray("settings", "tenants") {
		if name := string(t.GetStringBytes("name")); name != "" {
			c.Tenants = append(c.Tenants, name)
		}
	}
	var err error
	if c.Settings, err = Decode(r.find("settings")); err != nil {
		r.addError("settings", err)
	}
	// ConnectTimeout: the transports apply the window of a key up to the last byte. ConcurrentAttempts: the
	// engine has one flow per transaction and would report another attempt as never sent.
	c.Settings.Limits.ConnectTimeout, c.Settings.Limits.ConcurrentAttempts = 0, false
	if known := r.find("known"); known != nil {
		if c.LastMembership, err = decodeList(known); err != nil {
			r.addError("known", err)
		}
	}
	if c.Settings.Seed, err = seed(r.find("seed")); err != nil {
		r.fail("seed", err)
	}
	return c, r
}

// seed reads a seed as hexadecimal text or a number; absent is 0.
func seed(v *fastjson.Value) (uint64, error) {
	switch {
	case v == nil:
		return 0, nil
	case v.Type() == fastjson.TypeNumber:
		return v.Uint64()
	}
	return strconv.ParseUint(string(v.GetStringBytes()), 16, 64)
}

// DecodeList reads the answer of discovery. It rejects the whole list if any part is malformed, so that a
// list never takes effect in part.
func DecodeList(text []byte) (List, error) {
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return List{}, fmt.Errorf("list: %w", err)
	}
	return decodeList(v)
}

// decodeList reads a list.
func decodeList(v *fastjson.Value) (List, error) {
	r := newReader(v)
	l := List{Generation: r.integer("generation"), Complete: r.flag("reset")}
	if len(r.problems) == 0 && v.Get("instances") == nil {
		r.fail("instances", fmt.Errorf("missing"))
	}
	for i, at := range r.list("instances") {
		e, err := entry(at, i)
		if err != nil {
			return List{}, fmt.Errorf("list: %w", err)
		}
		l.Entries = append(l.Entries, e)
	}
	if err := r.err(); err != nil {
		return List{}, fmt.Errorf("list: %w", err)
	}
	return l, nil
}

// entry reads one member of a list.
func entry(v *fastjson.Value, i int) (Entry, error) {
	// Lists are read often, so that the reader does not record the keys that it reads.
	r := &reader{at: v, prefix: fmt.Sprintf("instances[%d].", i)}
	e := Entry{
		ID: r.text("instanceId"), Addr: r.text("hostPort"), Kind: r.text("machineType"), Zone: r.text("zone"),
		Cell: int(r.integer("cell")), Weight: r.number("weight"),
	}
	if ms := r.number("startedAtMs"); ms > 0 {
		e.Started = time.UnixMicro(saturating.Int64(ms * 1000))
	}
	if r.find("cell") == nil { // unique, so that a deduplicated job that may have run there goes to no other member
		h := fnv.New32a()
		h.Write([]byte(e.ID))
		e.Cell = -1 - int(h.Sum32())
	}
	switch state := r.text("lifecycle"); state {
	case "active":
		e.State = policy.Ready
	case "leaving":
		e.State = policy.Draining
	case "left":
		e.State = policy.Removed
	default:
		r.fail("lifecycle", fmt.Errorf("unknown state %q", state))
	}
	if e.ID == "" {
		r.fail("instanceId", fmt.Errorf("missing"))
	}
	if _, _, err := net.SplitHostPort(e.Addr); err != nil && e.State != policy.Removed {
		r.fail("hostPort", err)
	}
	return e, r.err()
}
