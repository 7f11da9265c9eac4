package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// clientHost is the host of all routes.
const clientHost = "client.example"

// queues are the path prefixes in every configuration. The service of the last one alternates with the version
// number.
var queues = []string{"/alpha/", "/gamma/", "/moving/"}

// versionPrefix returns the path prefix of the queue that exists in one version only.
func versionPrefix(version int64) string { return fmt.Sprintf("/v/%d/", version) }

// timeoutsMs are the timeouts of routes; the timeout of a route changes with the version.
var timeoutsMs = []int{1500, 3000, 5000, 8000}

// configurationText returns a valid configuration. Two configurations of one version differ in the writer.
func configurationText(version int64, writer string) string {
	var routes []string
	for number, prefix := range append(append([]string(nil), queues...), versionPrefix(version)) {
		service := services[(number*int(version)/2)%len(services)]
		if number < len(services) {
			service = services[number]
		}
		routes = append(routes, fmt.Sprintf(`{"name":%q,"host":%q,"path_prefix":%q,"type":"mutating","timeout_ms":%d,"target_ms":250,"priority":%d,"backend":%q,"retries":3,"extension":1.5}`,
			prefix, clientHost, prefix, timeoutsMs[(int(version)+number)%len(timeoutsMs)], number%3, service))
	}
	var kinds []string
	for _, service := range services {
		kinds = append(kinds, fmt.Sprintf(`{"name":%q,"guards":true}`, service))
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[%s],"limits":{"max_body_bytes":262144},"comment":%q}`,
		version, strings.Join(routes, ","), strings.Join(kinds, ","), writer)
}

// invalidTexts build configurations, each with another error: truncated, an unknown service, a path prefix
// that occurs twice, an old version, a timeout of 0.
var invalidTexts = []func(version int64) string{
	func(version int64) string { return configurationText(version, "cut")[:40] },
	func(version int64) string {
		return strings.Replace(configurationText(version, "unknown"), `"backend":"alpha"`, `"backend":"nobody"`, 1)
	},
	func(version int64) string {
		return strings.Replace(configurationText(version, "twice"), `"path_prefix":"/gamma/"`, `"path_prefix":"/alpha/"`, 1)
	},
	func(int64) string { return configurationText(1, "old") },
	func(version int64) string {
		return strings.Replace(configurationText(version, "zero"), `"timeout_ms":`, `"timeout_ms":0,"was":`, 1)
	},
}

// configChange is a configuration that an operator sent.
type configChange struct {
	version int64
	base    int64 // the version that it replaces
	content string
	invalid bool
	sent    time.Time
	acked   time.Time // zero: not acknowledged
	refused bool
}

// configTracker records the changes that operators sent and their outcomes, and checks them. It may be used
// concurrently.
type configTracker struct {
	findings *Findings

	mu          sync.Mutex
	changes     []*configChange
	base        int64 // the newest version that is known to be in force
	highestSent int64 // the highest version that was sent
}

// newChange returns a change based on the newest version. fault selects the error of an invalid one.
func (t *configTracker) newChange(writer string, step int64, invalid bool, fault int) *configChange {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.highestSent += step
	return t.add(&configChange{version: t.highestSent, base: t.base, invalid: invalid}, writer, fault)
}

// newRace returns two changes based on the same version; with an even step both have the same version
// number.
func (t *configTracker) newRace(step int64) [2]*configChange {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.highestSent += step
	second := t.highestSent + step%2
	one := t.add(&configChange{version: t.highestSent, base: t.base}, "one", 0)
	t.highestSent = second
	return [2]*configChange{one, t.add(&configChange{version: second, base: t.base}, "two", 0)}
}

func (t *configTracker) add(o *configChange, writer string, fault int) *configChange {
	o.content, o.sent = configurationText(o.version, writer), time.Now()
	if o.invalid {
		o.content = invalidTexts[fault%len(invalidTexts)](o.version)
	}
	t.changes = append(t.changes, o)
	return o
}

// record records the definite answer to a change and checks it.
func (t *configTracker) record(o *configChange, got Exchange) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if got.status != http.StatusOK {
		o.refused = true
		return
	}
	if o.invalid {
		t.findings.add(RuleConfig, "an invalid configuration was acknowledged: %s", o.content)
	}
	for _, other := range t.changes {
		if other != o && !other.acked.IsZero() && (other.base == o.base || other.version == o.version) {
			t.findings.add(RuleConfig, "versions %d and %d, both on %d, were acknowledged", other.version, o.version, o.base)
		}
	}
	o.acked = time.Now()
	t.base = max(t.base, o.version)
}

// newest returns the newest version that was acknowledged before a time, or 0 if there is none.
func (t *configTracker) newest(before time.Time) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	version := int64(0)
	for _, o := range t.changes {
		if !o.acked.IsZero() && o.acked.Before(before) {
			version = max(version, o.version)
		}
	}
	return version
}

// isNewest reports whether no change that was sent can have replaced a version.
func (t *configTracker) isNewest(version int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, o := range t.changes {
		if o.version > version && !o.invalid && !o.refused {
			return false
		}
	}
	return true
}

// checkContent checks the configuration that a node returns as the newest one: an operator sent it, it was
// not refused, and it is no older than the wanted version.
func (t *configTracker) checkContent(content string, wanted int64, where string) {
	var shown struct{ Version int64 }
	if err := json.Unmarshal([]byte(content), &shown); err != nil {
		t.findings.add(RuleConfig, "%s returns a configuration that can't be parsed: %v", where, err)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if shown.Version < wanted {
		t.findings.add(RuleConfig, "%s returns version %d although %d was acknowledged", where, shown.Version, wanted)
	}
	for _, o := range t.changes {
		if o.content != content {
			continue
		}
		if o.refused || o.invalid {
			t.findings.add(RuleConfig, "%s returns version %d, which was refused", where, o.version)
		}
		t.base = max(t.base, o.version)
		return
	}
	t.findings.add(RuleConfig, "%s returns a version %d that no operator sent", where, shown.Version)
}

// operator sends configurations and reads them.
type operator struct {
	*deployment
	ctx       context.Context
	exchanges *exchanges
	configs   *configTracker
	random    *lockedRandom
}

// ackLimit bounds how long a request is retried.
const ackLimit = 25 * time.Second

// send sends a change to one node after another until it gets a definite answer.
func (o *operator) send(sent *configChange) {
	got, ok := o.ask(request{method: http.MethodPost, path: "/-/config/replace", body: sent.content, base: sent.base})
	if !ok {
		if o.ctx.Err() == nil {
			o.findings.add(RuleCollapse, "version %d has no definite answer after %v", sent.version, ackLimit)
		}
		return
	}
	o.configs.record(sent, got)
	if got.status == http.StatusPreconditionFailed {
		o.read()
	}
}

// ask sends a request to one node after another until it gets a definite answer. It returns false if there is
// none in time.
func (o *operator) ask(r request) (got Exchange, ok bool) {
	next := o.random.intN(len(o.nodes))
	ok = await(o.ctx, ackLimit, func() bool {
		next++
		m := o.nodes[next%len(o.nodes)]
		c, err := dial(o.ctx, m.ip, o.addresses.HTTP(m.ip))
		if err != nil {
			return false
		}
		defer c.close()
		r.host = m.ip
		got, _ = c.exchange(r)
		o.exchanges.record(&got)
		return got.hasDefiniteAnswer()
	})
	return got, ok
}

// read requests the newest configuration from a node and checks it.
func (o *operator) read() {
	wanted := o.configs.newest(time.Now())
	if got, ok := o.ask(request{method: http.MethodGet, path: "/-/config/get"}); ok && got.status == http.StatusOK {
		o.configs.checkContent(got.body, wanted, got.target)
	}
}

// execute executes an event. It returns false if the event is not one for operators.
func (o *operator) execute(event Event) bool {
	const maxStep = 4
	step := int64(1 + o.random.intN(maxStep))
	switch event.Kind {
	case Configure:
		sent := o.configs.newChange("plain", step, false, 0)
		o.send(sent)
		o.resend(sent)
	case ConfigureInvalid:
		o.send(o.configs.newChange("invalid", step, true, event.Target))
	case ConfigureRace:
		var both sync.WaitGroup
		for _, sent := range o.configs.newRace(step) {
			both.Go(func() { o.send(sent) })
		}
		both.Wait()
	default:
		return false
	}
	return true
}

// resend sends an acknowledged change again, as a caller does after it lost the answer.
func (o *operator) resend(sent *configChange) {
	if sent.acked.IsZero() || !o.configs.isNewest(sent.version) {
		return
	}
	got, ok := o.ask(request{method: http.MethodPost, path: "/-/config/replace", body: sent.content, base: sent.base})
	if ok && got.status != http.StatusOK && o.configs.isNewest(sent.version) {
		o.findings.add(RuleConfig, "version %d was acknowledged, and refused when it was sent again: %d %s", sent.version, got.status, got.body)
	}
}
