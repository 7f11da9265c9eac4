package scheduler

import "basaltloft/internal/cluster/job"

// outbox collects the commands to commit and the orders to send until the caller takes them.
type outbox struct {
	epoch       uint64 // fencing token of all orders
	commands    []job.Command
	orders      []Order
	batch       uint64                    // number of the batch that the commands will belong to
	endsByBatch map[uint64][]proposedEnds // reported ends in each batch
}

// proposedEnds records that a batch contains a runner's reported ends up to a number.
type proposedEnds struct {
	runner  *runnerSession
	through uint64
}

func newOutbox(epoch uint64) outbox {
	return outbox{epoch: epoch, endsByBatch: map[uint64][]proposedEnds{}}
}

// propose adds a command to the next batch.
func (o *outbox) propose(c job.Command) { o.commands = append(o.commands, c) }

// send adds an order and sets its fencing token.
func (o *outbox) send(order Order) {
	order.Token = o.epoch
	o.orders = append(o.orders, order)
}

// acknowledgeAfterCommit records that the batch being collected contains a runner's reported ends
// up to a number.
func (o *outbox) acknowledgeAfterCommit(runner *runnerSession, through uint64) {
	o.endsByBatch[o.batch] = append(o.endsByBatch[o.batch], proposedEnds{runner: runner, through: through})
}

// take returns and clears the collected orders and, if includeCommands is true, the collected
// commands.
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

// committed returns the reported ends that a batch contained, and removes them.
func (o *outbox) committed(batch uint64) []proposedEnds {
	ends := o.endsByBatch[batch]
	delete(o.endsByBatch, batch)
	return ends
}

// sequence generates increasing numbers for task groups and lease renewals.
type sequence struct{ last uint64 }

// next returns the next number.
func (s *sequence) next() uint64 {
	s.last++
	return s.last
}
