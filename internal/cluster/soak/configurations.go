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

// queues are the path prefixes that each configuration has. The last one goes to another service with each
// second version.
var queues = []string{"/alpha/", "/gamma/", "/moving/"}

// versionPrefix is the path prefix of a queue that one version alone has.
func versionPrefix(version int64) string { return fmt.Sprintf("/v/%d/", version) }

// timeoutsMs are the time-outs of routes; which one a route has changes with the version.
var timeoutsMs = []int{1500, 3000, 5000, 8000}

// configurationText returns a valid configuration. The writer tells two of one version apart.
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

// invalidTexts are what may be wrong with a configuration.
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

// order is a configuration that an operator sent.
type order struct {
	version int64
	base    int64
	content string
	invalid bool
	sent    time.Time
	acked   time.Time // zero: it has not been acknowledged
	refused bool
}

// configLedger is what the operators sent and what became of it. It may be used concurrently.
type configLedger struct {
	findings *Findings

	mu     sync.Mutex
	orders []*order
	base   int64 // the newest version that is known to be in force
	drawn  int64 // the highest version that was sent
}

// draw returns a new order on top of the newest version. An invalid one has its fault from a number.
func (l *configLedger) draw(writer string, step int64, invalid bool, fault int) *order {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drawn += step
	return l.keep(&order{version: l.drawn, base: l.base, invalid: invalid}, writer, fault)
}

// drawRace returns two orders on top of the same version, now and then under the same number.
func (l *configLedger) drawRace(step int64) [2]*order {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drawn += step
	second := l.drawn + step%2
	one := l.keep(&order{version: l.drawn, base: l.base}, "one", 0)
	l.drawn = second
	return [2]*order{one, l.keep(&order{version: second, base: l.base}, "two", 0)}
}

func (l *configLedger) keep(o *order, writer string, fault int) *order {
	o.content, o.sent = configurationText(o.version, writer), time.Now()
	if o.invalid {
		o.content = invalidTexts[fault%len(invalidTexts)](o.version)
	}
	l.orders = append(l.orders, o)
	return o
}

// note takes the clear answer to an order.
func (l *configLedger) note(o *order, got Exchange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if got.status != http.StatusOK {
		o.refused = true
		return
	}
	if o.invalid {
		l.findings.add(RuleConfig, "an invalid configuration was acknowledged: %s", o.content)
	}
	for _, other := range l.orders {
		if other != o && !other.acked.IsZero() && (other.base == o.base || other.version == o.version) {
			l.findings.add(RuleConfig, "versions %d and %d, both on %d, were acknowledged", other.version, o.version, o.base)
		}
	}
	o.acked = time.Now()
	l.base = max(l.base, o.version)
}

// newest returns the newest version that was acknowledged before a time; 0: none was.
func (l *configLedger) newest(before time.Time) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	version := int64(0)
	for _, o := range l.orders {
		if !o.acked.IsZero() && o.acked.Before(before) {
			version = max(version, o.version)
		}
	}
	return version
}

// isNewest tells whether nothing that was sent can have replaced a version.
func (l *configLedger) isNewest(version int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, o := range l.orders {
		if o.version > version && !o.invalid && !o.refused {
			return false
		}
	}
	return true
}

// checkContent checks what a node answers as the newest configuration: something that was sent and not
// refused, and no older than the wanted version.
func (l *configLedger) checkContent(content string, wanted int64, where string) {
	var shown struct{ Version int64 }
	if err := json.Unmarshal([]byte(content), &shown); err != nil {
		l.findings.add(RuleConfig, "%s shows a configuration that can't be read: %v", where, err)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if shown.Version < wanted {
		l.findings.add(RuleConfig, "%s shows version %d, and %d was acknowledged", where, shown.Version, wanted)
	}
	for _, o := range l.orders {
		if o.content != content {
			continue
		}
		if o.refused || o.invalid {
			l.findings.add(RuleConfig, "%s shows version %d, which was refused", where, o.version)
		}
		l.base = max(l.base, o.version)
		return
	}
	l.findings.add(RuleConfig, "%s shows a version %d that nobody sent", where, shown.Version)
}

// operator sends configurations and reads them back.
type operator struct {
	*deployment
	ctx       context.Context
	exchanges *exchanges
	ledger    *configLedger
	random    *lockedRandom
}

// ackLimit bounds how long an order is sent again.
const ackLimit = 25 * time.Second

// send sends an order to one node after another until it has a clear answer.
func (o *operator) send(sent *order) {
	got, ok := o.ask(request{method: http.MethodPost, path: "/-/config/replace", body: sent.content, base: sent.base})
	if !ok {
		if o.ctx.Err() == nil {
			o.findings.add(RuleCollapse, "version %d has no clear answer after %v", sent.version, ackLimit)
		}
		return
	}
	o.ledger.note(sent, got)
	if got.status == http.StatusPreconditionFailed {
		o.read()
	}
}

// ask sends a request to one node after another until it has a clear answer; false: it has none in time.
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
		o.exchanges.note(&got)
		return got.hasClearAnswer()
	})
	return got, ok
}

// read asks a node for the newest configuration and checks it.
func (o *operator) read() {
	wanted := o.ledger.newest(time.Now())
	if got, ok := o.ask(request{method: http.MethodGet, path: "/-/config/get"}); ok && got.status == http.StatusOK {
		o.ledger.checkContent(got.body, wanted, got.target)
	}
}

// play plays an event; false: it is none of the operators'.
func (o *operator) play(event Event) bool {
	const maxStep = 4
	step := int64(1 + o.random.intN(maxStep))
	switch event.Kind {
	case Configure:
		sent := o.ledger.draw("plain", step, false, 0)
		o.send(sent)
		o.repeat(sent)
	case ConfigureInvalid:
		o.send(o.ledger.draw("invalid", step, true, event.Target))
	case ConfigureRace:
		var both sync.WaitGroup
		for _, sent := range o.ledger.drawRace(step) {
			both.Go(func() { o.send(sent) })
		}
		both.Wait()
	default:
		return false
	}
	return true
}

// repeat sends an acknowledged order again, as a caller does whose answer was lost.
func (o *operator) repeat(sent *order) {
	if sent.acked.IsZero() || !o.ledger.isNewest(sent.version) {
		return
	}
	got, ok := o.ask(request{method: http.MethodPost, path: "/-/config/replace", body: sent.content, base: sent.base})
	if ok && got.status != http.StatusOK && o.ledger.isNewest(sent.version) {
		o.findings.add(RuleConfig, "version %d was acknowledged, and refused when it came again: %d %s", sent.version, got.status, got.body)
	}
}
