package harness

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"
)

// RetentionMonitor watches which records the fleet keeps of a tenant whose rule prunes
// them, and compares those of other tenants with the clients' answers at the end.
type RetentionMonitor struct {
	PrunedTenant string   // the tenant with a rule
	KeptTenants  []string // tenants without one
	Lag          time.Duration
	removed      map[string]bool
	present      map[string]bool
	resurrected  []string
	missing      []string
	extra        []string
}

// list returns the ids of all records of a tenant, by pages.
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

// Watch observes which records come and go until the context ends. It is for
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

// Check waits until every spool is empty, and compares the records with the clients' calls.
// What a process answered within Lag before an outage may be lost with it.
func (m *RetentionMonitor) Check(r *Cluster) error {
	for _, p := range r.Processes {
		if _, err := p.WaitForAdmin("/fleet", `"unsent":0[,}]`, time.Now().Add(2*transitionTimeout)); err != nil {
			return err
		}
	}
	for _, tenant := range m.KeptTenants {
		ids, err := m.list(r, tenant, time.Now().Add(transitionTimeout))
		if err != nil {
			return err
		}
		got, asked := make(map[string]int), make(map[string]bool)
		for _, id := range ids {
			got[id]++
		}
		for _, c := range r.Calls() {
			asked[c.ID] = true
			if c.Tenant == tenant && c.Status != 0 && got[c.ID] == 0 && !r.hadOutage(c.Addr, c.Ended, m.Lag) {
				m.missing = append(m.missing, c.ID)
			}
		}
		for id, n := range got {
			if n > 1 || !asked[id] && !strings.HasPrefix(id, "plan-") {
				m.extra = append(m.extra, id)
			}
		}
	}
	return nil
}
