package controlplane

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"basaltloft/coord/rpc"
	"basaltloft/internal/cluster/job"
	"basaltloft/internal/cluster/leader"
	"basaltloft/internal/cluster/protocol"
)

// runnerListReader reads the platform's list of runners while this node leads the configuration's group. It
// passes the list to the shards of this node, and sends it to the other members of that group and to the
// nodes that recently requested to join a group.
type runnerListReader struct {
	node     *Node
	http     *http.Client
	lifetime context.Context // bounds all calls to the platform
	wake     chan struct{}   // buffered; signals that the epoch has changed

	mu    sync.Mutex
	lists leader.RunnerLists

	delivery  sync.Mutex                   // held while a list is passed to the shards; locked before mu
	delivered protocol.RunnerList          // the list that was last passed to the shards
	deliver   func(list []protocol.Runner) // passes a list to the shards of this node
}

const (
	readInterval  = 900 * time.Millisecond
	retryInterval = 250 * time.Millisecond // after a failure
	readTimeout   = 900 * time.Millisecond // for each page
	maxPages      = 200
	maxPageBytes  = 8 << 20
)

// newRunnerListReader returns a reader. All its calls end when lifetime ends.
func newRunnerListReader(lifetime context.Context, n *Node) *runnerListReader {
	transport := &http.Transport{DialContext: rpc.Dialer().DialContext, DisableCompression: true, MaxIdleConnsPerHost: 1}
	return &runnerListReader{
		node:     n,
		http:     &http.Client{CheckRedirect: noRedirect, Transport: transport},
		lifetime: lifetime,
		wake:     make(chan struct{}, 1),
		deliver:  n.updateShardRunners,
	}
}

// setEpoch sets the epoch of this node's leadership of the configuration's group. From then on this node
// reads the list, unless the epoch is 0, which means that it is not the leader.
func (r *runnerListReader) setEpoch(epoch uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lists.SetEpoch(epoch)
	wakeUp(r.wake)
}

// run reads the list at intervals until the node stops.
func (r *runnerListReader) run() {
	pause := readInterval
	for {
		select {
		case <-r.node.stop:
			return
		case <-r.wake:
		case <-time.After(pause):
		}
		pause = r.readIfLeader()
	}
}

// readIfLeader reads and distributes the list if this node is the leader. It returns the pause before the
// next call.
func (r *runnerListReader) readIfLeader() (pause time.Duration) {
	r.mu.Lock()
	epoch := r.lists.Epoch()
	r.mu.Unlock()
	if epoch == 0 || !r.node.configGroup.IsLeader() {
		return readInterval
	}
	list, err := r.readAll()
	if err != nil {
		r.node.log.Warn("reading the platform's runner list failed", "error", err)
		return retryInterval
	}
	r.distribute(epoch, list)
	return readInterval
}

// instancePage is a page of the platform's list.
type instancePage struct {
	Instances []instance `json:"instances"`
	NextToken *string    `json:"next_token"` // nil or empty: this is the last page
}

// instance is an entry in the platform's list.
type instance struct {
	ID          string        `json:"id"`
	Backend     string        `json:"backend"`
	Address     string        `json:"address"`
	State       string        `json:"state"`
	Capacity    job.Resources `json:"capacity"`
	Labels      []string      `json:"labels"`
	RemainingMs int64         `json:"remaining_ms"`
}

// stateDraining is the state of an instance that must not get new tasks.
const stateDraining = "draining"

func (i *instance) runner() protocol.Runner {
	return protocol.Runner{
		ID:          i.ID,
		Service:     i.Backend,
		Address:     i.Address,
		Labels:      i.Labels,
		Capacity:    i.Capacity,
		Draining:    i.State == stateDraining,
		RemainingMs: i.RemainingMs,
	}
}

// readAll reads all pages of the platform's list.
func (r *runnerListReader) readAll() ([]protocol.Runner, error) {
	var list []protocol.Runner
	token := ""
	for range maxPages {
		page, err := r.readPage(token)
		if err != nil {
			return nil, err
		}
		for i := range page.Instances {
			list = append(list, page.Instances[i].runner())
		}
		if page.NextToken == nil || *page.NextToken == "" {
			return list, nil
		}
		token = *page.NextToken
	}
	return nil, errors.Newf("the list has over %d pages", maxPages)
}

// readPage reads the page that a token names. An empty token names the first page.
func (r *runnerListReader) readPage(token string) (instancePage, error) {
	address := url.URL{Scheme: "http", Host: r.node.settings.CloudAPI.Address, Path: "/instances"}
	if token != "" {
		address.RawQuery = url.Values{"page_token": {token}}.Encode()
	}
	ctx, cancel := context.WithTimeout(r.lifetime, readTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address.String(), nil)
	if err != nil {
		return instancePage{}, errors.Wrap(err, "build the request")
	}
	response, err := r.http.Do(request)
	if err != nil {
		return instancePage{}, errors.Wrap(err, "call the platform")
	}
	defer func() { _ = response.Body.Close() }() // the body was read, or is not needed
	content, err := io.ReadAll(io.LimitReader(response.Body, maxPageBytes))
	if err != nil || response.StatusCode != http.StatusOK {
		return instancePage{}, errors.Newf("the platform responded with status %d", response.StatusCode)
	}
	page := instancePage{}
	return page, errors.Wrap(json.Unmarshal(content, &page), "decode the platform's response")
}

// distribute passes a list, whose read began in the given epoch, to the shards of this node. It also sends
// the list to other nodes, if that is due.
func (r *runnerListReader) distribute(epoch uint64, list []protocol.Runner) {
	now, nodes := r.node.now(), r.node.nodeAddresses()
	r.mu.Lock()
	message, send, ok := r.lists.Read(now, epoch, list)
	recipients := r.lists.Recipients(now, nodes)
	r.mu.Unlock()
	if !ok {
		return
	}
	r.deliverNewest()
	if !send {
		return
	}
	for _, address := range recipients {
		r.node.peers.sendOneWay(address, message)
	}
}

// joinRequested records that a node requested to join a group, and sends it the list if it needs it.
func (r *runnerListReader) joinRequested(address string) {
	r.mu.Lock()
	list, send := r.lists.JoinRequested(r.node.now(), address)
	r.mu.Unlock()
	if send {
		r.node.peers.sendOneWay(address, list)
	}
}

// update passes a received list to the shards of this node, unless they already have one that is as new or
// newer.
func (r *runnerListReader) update(message protocol.RunnerList) {
	r.mu.Lock()
	accepted := r.lists.Accept(message)
	r.mu.Unlock()
	if accepted {
		r.deliverNewest()
	}
}

// deliverNewest passes the newest list to the shards, unless they have it. Lists that arrive at the same
// time reach the shards in their order.
func (r *runnerListReader) deliverNewest() {
	r.delivery.Lock()
	defer r.delivery.Unlock()
	r.mu.Lock()
	newest := r.lists.Newest()
	r.mu.Unlock()
	if !newest.NewerThan(r.delivered) {
		return
	}
	r.delivered = newest
	r.deliver(newest.List)
}

// noRedirect prevents an HTTP client from following redirects.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
