package harness

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// RetentionMonitor watches which records the fleet keeps of a tenant whose rule prunes
// them, and compares those of other tenants with the clients' answers at the end.
type RetentionMonitor struct {
	PrunedTenant string        // the tenant with a retention rule
	KeptTenants  []string      // tenants without a retention rule; at least one
	Lag          time.Duration // how long before an outage answers may lose their records
	removed      map[string]bool
	present      map[string]bool
	resurrected  []string
	missing      []string
	extra        []string
}

// list returns the ids of all records of a tenant, which it reads page by page.
func (m *RetentionMonitor) list(r *Cluster, tenant string, until time.Time) (ids []string, err error) {
	after := ""
	for {
		var page struct {
			Records []struct{ ID string }
			Next    string
		}
		status, text, err := r.RandomProcess().AdminRequest("GET", "/records?most=1000&tenant="+tenant+"&after="+after, "", time.Now().Add(2*time.Second))
		if err != nil || status != 200 || json.Unmarshal([]byte(text), &page) != nil {
			if time.Now().After(until) {
				return nil, errors.Join(fmt.Errorf("records of %s: %d %s", tenant, status, text), err)
			}
			time.Sleep(20 * time.Millisecond)
			continue
		}
		for _, one := range page.Records {
			ids = append(ids, one.ID)
		}
		if after = page.Next; after == "" {
			return ids, nil
		}
	}
}

// Watch observes which records appear and disappear until the context ends. It is for
// Soak.Background.
func (m *RetentionMonitor) Watch(ctx context.Context, r *Cluster) {
	m.removed, m.present = make(map[string]bool), make(map[string]bool)
	for ctx.Err() == nil {
		if ids, err := m.list(r, m.PrunedTenant, time.Now().Add(transitionTimeout)); err == nil {
			m.observe(ids)
		}
		select {
		case <-ctx.Done():
		case <-time.After(300 * time.Millisecond):
		}
	}
}

func (m *RetentionMonitor) observe(ids []string) {
	now := make(map[string]bool, len(ids))
	for _, id := range ids {
		if now[id] = true; m.removed[id] {
			m.resurrected = append(m.resurrected, id)
		}
	}
	for id := range m.present {
		if !now[id] {
			m.removed[id] = true
		}
	}
	m.present = now
}

// WaitRecorded sends one more call to a process, and waits until every process shows its record.
// A process's records reach the fleet in the order of its answers, so the fleet then has those
// of all answers that the process gave before this call was sent. A spool with nothing unsent
// does not imply this, as a record that waits to be written is not counted there.
func (c *Cluster) WaitRecorded(p *Process, tenant, id string, until time.Time) error {
	if err := p.sendCall(tenant, id, until); err != nil {
		return fmt.Errorf("%s does not answer call %s: %w", p.Name, id, err)
	}
	for _, q := range c.Processes {
		for {
			status, text, err := q.AdminRequest(http.MethodGet, "/records/"+id, "", until)
			if err == nil && status == http.StatusOK {
				break
			}
			if time.Now().After(until) {
				return errors.Join(fmt.Errorf("%s does not show the record of %s's call %s: %d %s", q.Name, p.Name, id, status, text), err)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// sendCall sends one call with a key and reads the answer, whatever it is.
func (p *Process) sendCall(tenant, id string, until time.Time) error {
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.Addr("listen")+"/place-hold?sid="+id, strings.NewReader("body"))
	if err != nil {
		return err
	}
	req.Close = true
	req.Header.Set("X-Call-Id", id)
	req.Header.Set("X-Caller", tenant)
	req.Header.Set("X-Budget", fmt.Sprint(callTimeout.Seconds()))
	req.Header.Set("Idempotency-Key", id)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return errors.Join(err, resp.Body.Close())
}

// callTimeout is how long a call of WaitRecorded waits for its answer.
const callTimeout = 20 * time.Second

// Check waits until the fleet has the records of all answers that the processes gave before,
// and every spool is empty, and compares the records with the clients' calls. What a process
// answered within Lag before an outage may be lost with it.
func (m *RetentionMonitor) Check(r *Cluster) error {
	requested := make(map[string]bool) // ids of the calls of this check and of the clients
	for _, p := range r.Processes {
		id, until := "last-"+p.Name, time.Now().Add(2*transitionTimeout)
		requested[id] = true
		if err := r.WaitRecorded(p, m.KeptTenants[0], id, until); err != nil {
			return err
		}
		if _, err := p.WaitForAdmin("/fleet", `"unsent":0[,}]`, until); err != nil {
			return err
		}
	}
	for _, c := range r.Calls() {
		requested[c.ID] = true
	}
	for _, tenant := range m.KeptTenants {
		ids, err := m.list(r, tenant, time.Now().Add(transitionTimeout))
		if err != nil {
			return err
		}
		got := make(map[string]int)
		for _, id := range ids {
			got[id]++
		}
		for _, c := range r.Calls() {
			if c.Tenant == tenant && c.Status != 0 && got[c.ID] == 0 && !r.hadOutage(c.Addr, c.Ended, m.Lag) {
				m.missing = append(m.missing, c.ID)
			}
		}
		for id, n := range got {
			if n > 1 || !requested[id] && !strings.HasPrefix(id, "plan-") {
				m.extra = append(m.extra, id)
			}
		}
	}
	return nil
}
