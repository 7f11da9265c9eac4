package main

import (
	"bytes"
	"strings"
	"testing"

	"basaltloft/internal/dispatcher/simprotocol"

	"github.com/stretchr/testify/require"
)

const conf = `{"balancers":1,"registry_mode":"push","worth_by":"work","zone":"a","shapes":["k"],"brand_new_key":[1],` +
	`"lanes":[{"name":"c","effect":"idempotent","key_scope":"all","promise":400000000,"give_up":5000000000,"worth":1}],` +
	`"family_info":{"class_kind":[-1],"class_stretch":[2],"report_x0":"free slots"},` +
	`"limits":{"most_tries":3,"probes":true,"cancel":true},` +
	`"guarantees":{"grace_to_answer":20000000,"start_capacity":0.3,"warm_after":8000000000,"fall_multiple":2.5,"tip_after":2000000000}}`

const (
	begin     = "BEGIN_BATCH\tat_time=1000000000\nINSTANCE\ti=s/0\n"
	configure = "CONFIGURE\tnonce64=7\tconf=" + conf + "\n"
	roster    = "ROSTER\tset_id=0\trecords=1\nROW\ttype=k\tcluster=0\tstage_state=healthy\tdc=a\tscale=1\tworker=5\n"
	discovery = "DISCOVERY\tset_id=0\tseq_no=1\tkind=restored\n"
	ingress   = "INGRESS\ttxn=r-1\tcost_guess=100000000\texpires=6000000000\tclass=c\twidth=1\n"
	started   = begin + configure + roster + discovery
)

func answer(t *testing.T, in string) string {
	t.Helper()
	var out bytes.Buffer
	if err := run(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	return out.String()
}

func TestRepliesOnTheWire(t *testing.T) {
	got := answer(t, started+ingress+"EOB\n")
	want := "SOURCE\ti=s/0\nROUTE\ttxn=r-1\tworker=5\nSCHEDULE\tin=900000000\tctx=due\nSCHEDULE\tin=20000000\tctx=tick\nFINISHED\n"
	if got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if got := answer(t, ""); got != "" {
		t.Errorf("empty input: %q", got)
	}
	if got := answer(t, "BEGIN_BATCH\tat_time=5\nEOB\n"); got != "FINISHED\n" {
		t.Errorf("empty batch: %q", got)
	}
}

func TestListNumbersAreReusedInABatch(t *testing.T) {
	other := strings.NewReplacer("worker=5", "worker=6").Replace(roster)
	got := answer(t, started+other+"DISCOVERY\tset_id=0\tseq_no=2\tkind=replace\n"+ingress+"EOB\n")
	if !strings.Contains(got, "ROUTE\ttxn=r-1\tworker=6\n") {
		t.Errorf("the later list is not in use: %q", got)
	}
}

func TestTeardownForgetsAndConfigureStartsAnew(t *testing.T) {
	got := answer(t, started+ingress+"TEARDOWN\n"+configure+roster+discovery+"LAPSED\ttxn=r-1\nEOB\n")
	if strings.Contains(got, "DECLINE") || strings.Contains(got, "CANCEL") {
		t.Errorf("actions for a request that arrived before the teardown: %q", got)
	}
}

// TestGuarantees checks that an absent optional guarantee means false, and that a value of another type
// than bool is an error.
func TestGuarantees(t *testing.T) {
	with := func(key string) string {
		c := strings.Replace(started, `"guarantees":{`, `"guarantees":{`+key, 1)
		return strings.Replace(c, "idempotent", "at_most_once", 1)
	}
	full := "COMPLETED\ttxn=r-1\tended=0\tcopy=0\tstate_code=254\tduration=5\tworker=5\n"
	for key, failed := range map[string]bool{"": false, `"late_shedding":false,`: false, `"late_shedding":true,`: true} {
		got := answer(t, with(key)+ingress+full+"EOB\n")
		if strings.Contains(got, "RESPOND_ERROR\ttxn=r-1\n") != failed {
			t.Errorf("%s: %q", key, got)
		}
	}
	deregistered := strings.Replace(roster, "healthy", "deregistered", 1) + "DISCOVERY\tset_id=0\tseq_no=2\tkind=update\n"
	for key, routed := range map[string]bool{"": false, `"dropped_stay_open":false,`: false, `"dropped_stay_open":true,`: true} {
		if got := answer(t, with(key)+deregistered+ingress+"EOB\n"); strings.Contains(got, "ROUTE") != routed {
			t.Errorf("%s, server deregistered: %q", key, got)
		}
	}
	for _, name := range []string{"late_shedding", "dropped_stay_open"} {
		err := run(strings.NewReader(with(`"`+name+`":1,`)), &bytes.Buffer{})
		if err == nil || !strings.Contains(err.Error(), "guarantees."+name+" of type bool") {
			t.Errorf("a number for %s: %v", name, err)
		}
	}
}

// TestReadsSubjects checks that the decoder sets a request's AffinityKey from the field entity, which may
// be absent.
func TestReadsSubjects(t *testing.T) {
	for line, want := range map[string]string{
		"INGRESS\ttxn=r-1\tentity=91f0 3b\texpires=9\tclass=c\nEOB\n": "91f0 3b", "INGRESS\ttxn=r-1\texpires=9\tclass=c\nEOB\n": "",
	} {
		d, found := simprotocol.NewDecoder(strings.NewReader(begin+line)), false
		for e, err := d.Next(); !found; e, err = d.Next() {
			require.NoError(t, err)
			if found = e.Request.ID == "r-1"; found {
				require.Equal(t, want, e.Request.AffinityKey)
			}
		}
	}
}

func TestReadsEveryEvent(t *testing.T) {
	rest := "COMPLETED\ttxn=r-1\tended=1\tcopy=0\tstate_code=0\tduration=5\tworker=5\tserver_stats=throughput:140,x0:0.4,new:1\n" +
		"STATUS_BACK\tworker=5\tstate_code=253\tduration=1400000\n" +
		"STATUS_NOTE\ttxn=r-1\tcopy=0\tlevel=0.5\tworker=5\ttopic=2\n" +
		"OPENED\ttxn=r-1\tcopy=0\tworker=5\tduration=9\n" +
		"MEMO\tby=2\toctets=aGkgNw==\nELAPSED\tctx=sweep\nLAPSED\ttxn=r-9\n" +
		"DISCOVERY\tset_id=3\tseq_no=1\tkind=unavailable\n"
	answer(t, started+ingress+rest+"EOB\n")
}

func TestMalformedInputEndsWithALine(t *testing.T) {
	for name, c := range map[string]struct{ in, want string }{
		"no batch":        {"INGRESS\ttxn=r\n", `line 1: "INGRESS" outside a batch`},
		"unknown message": {started + "SHRUG\ta=1\n", "line 7: SHRUG: unknown message"},
		"bad number":      {started + strings.Replace(ingress, "=6000000000", "=6e9", 1), `line 7: INGRESS: expires: bad integer "6e9"`},
		"no value":        {started + "LAPSED\ttxn\n", `line 7: LAPSED: "txn" is not name=value`},
		"missing field":   {started + "LAPSED\n", "line 7: LAPSED: txn is missing"},
		"twice":           {started + "LAPSED\ttxn=a\ttxn=b\n", "line 7: LAPSED: txn given twice"},
		"bad worker":      {started + "STATUS_BACK\tworker=4294967296\n", "line 7: STATUS_BACK: worker: 4294967296 is out of range"},
		"bad code":        {started + "STATUS_BACK\tworker=5\tstate_code=12\n", "line 7: STATUS_BACK: state_code: unknown code 12"},
		"bad bool":        {started + "COMPLETED\ttxn=r\tworker=5\tended=yes\n", `line 7: COMPLETED: ended: bad bool "yes"`},
		"bad report":      {started + "STATUS_BACK\tworker=5\tserver_stats=x0\n", `line 7: STATUS_BACK: server_stats: "x0" is not name:value`},
		"not a number":    {started + "STATUS_BACK\tworker=5\tserver_stats=x0:NaN\n", `line 7: STATUS_BACK: server_stats: bad number "NaN"`},
		"no such list":    {started + "DISCOVERY\tset_id=4\tkind=update\n", "line 7: DISCOVERY: set_id: no list 4 yet"},
		"bad state":       {begin + configure + strings.Replace(roster, "healthy", "fine", 1), `line 5: ROW: stage_state: unknown state "fine"`},
		"short list":      {begin + configure + strings.Replace(roster, "records=1", "records=2", 1) + "EOB\n", `line 6: "EOB" where a ROW belongs`},
		"not configured":  {begin + ingress, "line 3: event for s/0, which was never configured"},
		"no instance":     {"BEGIN_BATCH\tat_time=1\n" + ingress, "line 2: INGRESS before any INSTANCE"},
		"cut short":       {started, "line 7: input ends inside a batch"},
		"clock backward":  {"BEGIN_BATCH\tat_time=9\nEOB\nBEGIN_BATCH\tat_time=8\n", "line 3: at_time: the clock runs backward"},
		"bad settings":    {begin + strings.Replace(configure, `"balancers":1`, `"balancers":0`, 1), "line 3: basaltloft: invalid setting Instances"},
		"bad effect":      {begin + strings.Replace(configure, "idempotent", "magic", 1), `line 3: CONFIGURE: conf: lanes[0].effect: unknown effect "magic"`},
		"bad json":        {begin + "CONFIGURE\tnonce64=7\tconf={\n", "line 3: CONFIGURE: conf: cannot parse JSON: cannot parse object: missing '}'; unparsed tail: \"\""},
	} {
		err := run(strings.NewReader(c.in), &bytes.Buffer{})
		if err == nil || err.Error() != c.want {
			t.Errorf("%s: got %v, want %s", name, err, c.want)
		}
	}
}
