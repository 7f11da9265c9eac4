package metrics

import (
	"basaltloft/internal/dispatcher/accounting"

	"github.com/prometheus/client_golang/prometheus"
)

// metricNamespace is the prefix of each metric's name.
const metricNamespace = "basaltloft_"

// The exported metrics. Operators' dashboards use the names and labels, so these must not change.
var (
	jobLabels                = []string{"front", "class", "tenant", "group"}
	jobsTaken                = desc("jobs_taken_total", "Jobs taken, by where they are or were last.", jobLabels...)
	jobsMovedIn              = desc("jobs_came_total", "Jobs that were sent to this group, having been elsewhere.", jobLabels...)
	jobsMovedOut             = desc("jobs_went_total", "Jobs that were sent to another group.", jobLabels...)
	jobsEnded                = desc("jobs_ended_total", "Jobs with their one final answer.", append(jobLabels, "outcome", "reason")...)
	jobsOpen                 = desc("jobs_open", "Jobs without a final answer.", jobLabels...)
	flowsSent                = desc("flows_sent_total", "Server-side flows: attempts.", "class", "group")
	flowsEnded               = desc("flows_ended_total", "Server-side flows that ended.", "class", "group", "status")
	flowsInFlight            = desc("flows_out", "Server-side flows in flight.", "class", "group")
	logicalRequests          = desc("asks_total", "Logical requests of clients: retries are not counted.")
	retries                  = desc("retries_total", "Attempts of a logical request that was known.", "kind")
	logicalRequestsOpen      = desc("asks_open", "Logical requests with an open attempt.")
	logicalRequestsByOutcome = desc("asks_standing", "Logical requests by their outcome so far.", "outcome")
	auditsRun                = desc("audits_total", "Audits of the ledger.")
	auditDifferences         = desc("audit_differences_total", "Differences that audits have found.", "audit")
	ledgerBalanced           = desc("account_adds_up", "1 unless an audit has found a difference since the start.")
	journalStopped           = desc("journal_stopped", "1 if the job journal has stopped writing.")
	journalRecords           = desc("journal_records_total", "Records written to the job journal.")
	jobSeconds               = desc("job_seconds", "Spans of ended jobs: wait until the last send, run from there, whole.", "class", "span")
)

// desc returns the description of a metric of the dispatcher.
func desc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(metricNamespace+name, help, labels, nil)
}

// collector exports the ledger to Prometheus. Each scrape reads the whole ledger at one
// moment, so that the values of a scrape balance too.
type collector struct{ exporter *Exporter }

// Describe implements prometheus.Collector.
func (c collector) Describe(ch chan<- *prometheus.Desc) { prometheus.DescribeByCollect(c, ch) }

// Collect implements prometheus.Collector.
func (c collector) Collect(ch chan<- prometheus.Metric) {
	report := c.exporter.Report()
	s := scrape(ch)
	s.jobs(report.Account.Rows)
	s.flows(report.Account.Flows)
	s.logicalRequests(&report.Account.Asks)
	s.audits(&report.Audit)
	if j := report.Journal; j != nil {
		s.count(journalRecords, j.Written)
		s.gauge(journalStopped, oneIf(j.Stopped))
	}
	s.latencies(report.Account.Times)
}

// scrape is the channel to which the metrics of one scrape are sent.
type scrape chan<- prometheus.Metric

func (s scrape) count(d *prometheus.Desc, n int64, labels ...string) {
	s <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(n), labels...)
}

func (s scrape) gauge(d *prometheus.Desc, n int64, labels ...string) {
	s <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, float64(n), labels...)
}

func oneIf(set bool) int64 {
	if set {
		return 1
	}
	return 0
}

func (s scrape) jobs(rows []accounting.Row) {
	for i := range rows {
		row := &rows[i]
		labels := []string{row.Front, row.Class, row.Tenant, row.Group}
		s.count(jobsTaken, row.Entered, labels...)
		s.count(jobsMovedIn, row.Came, labels...)
		s.count(jobsMovedOut, row.Went, labels...)
		s.gauge(jobsOpen, row.Open, labels...)
		for number, n := range row.Ends {
			if n > 0 {
				reason := accounting.Reason(number)
				s.count(jobsEnded, n, append(labels[:4:4], reason.Outcome().String(), reason.String())...)
			}
		}
	}
}

func (s scrape) flows(flows []accounting.FlowCounts) {
	for i := range flows {
		f := &flows[i]
		s.count(flowsSent, f.Sent, f.Class, f.Group)
		s.gauge(flowsInFlight, f.Out, f.Class, f.Group)
		for status, n := range f.Ends {
			if n > 0 {
				s.count(flowsEnded, n, f.Class, f.Group, accounting.StatusNameAt(status))
			}
		}
	}
}

func (s scrape) logicalRequests(r *accounting.LogicalRequests) {
	s.count(logicalRequests, r.Asked)
	s.count(retries, r.Retries, "known")
	s.count(retries, r.Strays, "stray")
	s.gauge(logicalRequestsOpen, r.Open)
	for outcome := range accounting.Outcomes {
		s.gauge(logicalRequestsByOutcome, r.Final(outcome), outcome.String())
	}
}

func (s scrape) audits(state *AuditState) {
	s.count(auditsRun, state.Audits)
	balanced := true
	for audit, n := range state.Found {
		s.count(auditDifferences, n, audit)
		balanced = balanced && n == 0
	}
	s.gauge(ledgerBalanced, oneIf(balanced))
}

func (s scrape) latencies(byClass map[string]accounting.LatencySnapshots) {
	for class, t := range byClass {
		for span, d := range map[string]accounting.Distribution{"wait": t.Wait, "run": t.Run, "whole": t.Whole} {
			buckets := make(map[float64]uint64, len(d.Buckets))
			for _, edge := range accounting.BucketEdges {
				buckets[edge.Seconds()] = uint64(d.Buckets[edge])
			}
			s <- prometheus.MustNewConstHistogram(jobSeconds, uint64(d.Count), d.Sum.Seconds(), buckets, class, span)
		}
	}
}
