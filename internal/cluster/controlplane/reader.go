package controlplane

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"reflect"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"basaltloft/coord/rpc"
	"basaltloft/internal/cluster/job"
	"basaltloft/internal/cluster/protocol"
)

// reader reads the platform's list, in the one process that owns the configuration, and
// passes it to all others.
type reader struct {
	core *Node
	http *http.Client
	wake chan struct{}

	mu       sync.Mutex
	epoch    uint64 // of this process's lead; 0: another one reads
	sequence uint64
	newest   protocol.RunnerList
	sentAt   time.Time
}

const (
	readEvery  = 900 * time.Millisecond
	readAgain  = 250 * time.Millisecond // after a failure
	readWithin = 900 * time.Millisecond
	passEvery  = 3 * time.Second // an unchanged list is passed on so often
	mostPages  = 200
	mostList   = 8 << 20 // bytes of a page
)

func newReader(c *Node) *reader {
	transport := &http.Transport{DialContext: rpc.Dialer().DialContext, DisableCompression: true, MaxIdleConnsPerHost: 1}
	return &reader{core: c, http: &http.Client{CheckRedirect: noRedirect, Transport: transport}, wake: make(chan struct{}, 1)}
}

// lead tells that this process reads from now on, or, by 0, that it does not.
func (r *reader) lead(epoch uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.epoch = epoch
	r.sentAt = time.Time{}
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *reader) run() {
	pause := readEvery
	for {
		select {
		case <-r.core.stop:
			return
		case <-r.wake:
		case <-time.After(pause):
		}
		pause = r.readIfLeading()
	}
}

func (r *reader) readIfLeading() (pause time.Duration) {
	r.mu.Lock()
	epoch := r.epoch
	r.mu.Unlock()
	if epoch == 0 || !r.core.configGroup.IsLeader() {
		return readEvery
	}
	list, err := r.readAll()
	if err != nil {
		r.core.log.Warn("the platform's list can't be read", "error", err)
		return readAgain
	}
	r.pass(epoch, list)
	return readEvery
}

// instances is a page of the platform's list.
type instances struct {
	Instances []instance `json:"instances"`
	NextToken *string    `json:"next_token"`
}

// instance is an entry of the platform's list.
type instance struct {
	ID          string        `json:"id"`
	Backend     string        `json:"backend"`
	Address     string        `json:"address"`
	State       string        `json:"state"`
	Capacity    job.Resources `json:"capacity"`
	Labels      []string      `json:"labels"`
	RemainingMs int64         `json:"remaining_ms"`
}

func (r *reader) readAll() ([]protocol.Runner, error) {
	var list []protocol.Runner
	token := ""
	for range mostPages {
		page, err := r.readPage(token)
		if err != nil {
			return nil, err
		}
		for _, entry := range page.Instances {
			list = append(list, protocol.Runner{ID: entry.ID, Service: entry.Backend, Address: entry.Address, Labels: entry.Labels,
				Capacity: entry.Capacity, Draining: entry.State == "draining", RemainingMs: entry.RemainingMs})
		}
		if page.NextToken == nil || *page.NextToken == "" {
			return list, nil
		}
		token = *page.NextToken
	}
	return nil, errors.Newf("the list has over %d pages", mostPages)
}

func (r *reader) readPage(token string) (instances, error) {
	address := url.URL{Scheme: "http", Host: r.core.settings.CloudAPI.Address, Path: "/instances"}
	if token != "" {
		address.RawQuery = url.Values{"page_token": {token}}.Encode()
	}
	ctx, cancel := context.WithTimeout(context.Background(), readWithin)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address.String(), nil)
	if err != nil {
		return instances{}, errors.Wrap(err, "build the call")
	}
	response, err := r.http.Do(request)
	if err != nil {
		return instances{}, errors.Wrap(err, "call the platform")
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, mostList))
	if err != nil || response.StatusCode != http.StatusOK {
		return instances{}, errors.Newf("the platform answered %d", response.StatusCode)
	}
	page := instances{}
	return page, errors.Wrap(json.Unmarshal(content, &page), "read the platform's answer")
}

// pass hands a list to the shards here and to the other core processes.
func (r *reader) pass(epoch uint64, list []protocol.Runner) {
	r.mu.Lock()
	r.sequence++
	message := protocol.RunnerList{Epoch: epoch, Sequence: r.sequence, List: list}
	changed := !reflect.DeepEqual(list, r.newest.List)
	due := changed || time.Since(r.sentAt) > passEvery
	if due {
		r.sentAt = time.Now()
	}
	r.mu.Unlock()
	r.take(message)
	if !due {
		return
	}
	for _, address := range r.core.cores() {
		r.core.peers.cast(address, message)
	}
}

// take hands a list to the shards, unless a newer one was there.
func (r *reader) take(message protocol.RunnerList) {
	r.mu.Lock()
	older := message.Epoch < r.newest.Epoch || message.Epoch == r.newest.Epoch && message.Sequence <= r.newest.Sequence
	if !older {
		r.newest = message
	}
	r.mu.Unlock()
	if older {
		return
	}
	for _, s := range r.core.shards {
		s.UpdateRunners(message.List)
	}
}
