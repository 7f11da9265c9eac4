package policy_test

import (
	"fmt"
	"time"

	"basaltloft/internal/dispatcher/policy"
)

// printer is a host that prints its actions; a real host sends jobs and sets timers.
type printer struct{}

func (printer) Send(id string, worker uint32, _ time.Duration) { fmt.Println("send", id, "to", worker) }
func (printer) Refuse(id string, _ time.Duration)              { fmt.Println("refuse", id) }
func (printer) Fail(id string)                                 { fmt.Println("fail", id) }
func (printer) Cancel(id string, attempt int)                  { fmt.Println("cancel", id, attempt) }
func (printer) Probe(uint32)                                   {}
func (printer) Timer(time.Duration, string)                    {}
func (printer) Watch(bool)                                     {}
func (printer) Fetch()                                         {}
func (printer) Log(string)                                     {}

func Example() {
	d, err := policy.New(policy.Settings{
		Instances: 1,
		Classes: []policy.Class{{Name: "report", Effect: policy.Idempotent, LatencyTarget: time.Second,
			TargetPerWork: 2, ClientTimeout: 10 * time.Second, Value: 1, Kind: -1}},
		Limits: policy.Limits{MaxAttempts: 3},
	}, printer{})
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Duration(0) // since a moment that the host chooses
	d.HandleMembers(now, policy.ListSnapshot, []policy.Member{{Number: 7}})
	d.HandleRequest(now, policy.Request{ID: "r1", Class: "report", Deadline: now + 10*time.Second})
	now += 300 * time.Millisecond
	d.HandleAttemptResult(now, policy.AttemptResult{Request: "r1", Worker: 7, Status: policy.OK, Final: true})
	// Output: send r1 to 7
}
