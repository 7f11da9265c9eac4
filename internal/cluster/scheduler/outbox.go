package scheduler

import "basaltloft/internal/cluster/job"

// outbox collects what is to be committed and sent until the caller takes it.
type outbox struct {
	epoch       uint64 // fencing token of all orders
	commands    []job.Command
	orders      []Order
	batch       uint64                    // number of the batch that the commands will be in
	endsByBatch map[uint64][]proposedEnds // by batch
}

// proposedEnds says that a batch holds a runner's reported ends up to a number.
type proposedEnds struct {
	runner  *runnerSession
	through uint64
}

func newOutbox(epoch uint64) outbox {
	return outbox{epoch: epoch, endsByBatch: map[uint64][]proposedEnds{}}
}

func (o *outbox) propose(c job.Command) { o.commands = append(o.commands, c) }

func (o *outbox) send(order Order) {
	order.Token = o.epoch
	o.orders = append(o.orders, order)
}

// acknowledgeAfterCommit notes that the commands of the batch being collected hold a runner's
// ends up to a number.
func (o *outbox) acknowledgeAfterCommit(runner *runnerSession, through uint64) {
	o.endsByBatch[o.batch] = append(o.endsByBatch[o.batch], proposedEnds{runner: runner, through: through})
}

// take returns what was collected; commands only where they are asked for.
func (o *outbox) take(includeCommands bool) Output {
	out := Output{Orders: o.orders}
	o.orders = nil
	if !includeCommands || len(o.commands) == 0 {
		return out
	}
	out.Commands, o.commands = o.commands, nil
	out.Batch = o.batch
	o.batch++
	return out
}

// committed returns the ends that a batch held, once.
func (o *outbox) committed(batch uint64) []proposedEnds {
	ends := o.endsByBatch[batch]
	delete(o.endsByBatch, batch)
	return ends
}

// sequence numbers task groups and lease renewals in the order of their coming.
type sequence struct{ last uint64 }

func (s *sequence) next() uint64 {
	s.last++
	return s.last
}
