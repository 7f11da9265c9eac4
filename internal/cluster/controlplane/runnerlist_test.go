package controlplane

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"basaltloft/coord/replica"
	"basaltloft/coord/rpc"
	"basaltloft/internal/cluster/protocol"
)

// listRecorder is a control-plane node that records the lists of runners that it receives and ignores
// everything else.
type listRecorder struct{ lists chan protocol.RunnerList }

func (r listRecorder) HandleCall(any) any { return protocol.JobResponse{} }

func (r listRecorder) HandleOneWay(body any) {
	if list, ok := body.(protocol.RunnerList); ok {
		r.lists <- list
	}
}

// serveRecorder serves a new listRecorder. It returns the recorder and its address.
func serveRecorder(t *testing.T) (listRecorder, string) {
	t.Helper()
	recorder := listRecorder{lists: make(chan protocol.RunnerList, 100)}
	mux := http.NewServeMux()
	mux.Handle(rpc.Path, rpc.NewServer(recorder))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return recorder, strings.TrimPrefix(server.URL, "http://")
}

// TestRunnerListReachesNodesOutsideTheConfigurationsGroup checks that a node outside the configuration's group
// receives the list of runners as soon as it requests to join a group, and repeatedly afterwards. Such a node
// may lead a shard; it is not a member of the configuration's group because that group is full.
func TestRunnerListReachesNodesOutsideTheConfigurationsGroup(t *testing.T) {
	platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"instances":[{"id":"i-1","backend":"desk","address":"127.0.0.1:1","state":"running"}]}`))
	}))
	defer platform.Close()
	node := newSingleNode(t)
	node.settings.CloudAPI.Address = strings.TrimPrefix(platform.URL, "http://")
	ctx, stop := context.WithCancel(t.Context())
	returned := make(chan error, 1)
	go func() { returned <- node.Run(ctx) }()
	defer func() {
		stop()
		require.NoError(t, <-returned)
	}()
	hasList := func() bool {
		node.runnerListReader.mu.Lock()
		defer node.runnerListReader.mu.Unlock()
		return node.replicasRunning.Load() && len(node.runnerListReader.lists.Newest().List) == 1
	}
	require.Eventually(t, hasList, nodeTestTimeout, 10*time.Millisecond)

	recorder, address := serveRecorder(t)
	host, _, err := net.SplitHostPort(address)
	require.NoError(t, err)
	request := protocol.JoinRequest{Group: "jobs-0", Member: replica.Member{ID: "outside-" + host, Address: address}, Relayed: true}
	for range 2 {
		list := receiveList(t, recorder, func() { node.HandleOneWay(request) })
		require.Len(t, list.List, 1)
		require.Equal(t, "i-1", list.List[0].ID)
	}
	_, isMember := node.configGroup.Membership().Find(request.Member.ID)
	require.False(t, isMember)
}

// TestConcurrentListsReachShardsInOrder guards against a list that overtakes a newer one between the
// comparison with the newest and the shards.
func TestConcurrentListsReachShardsInOrder(t *testing.T) {
	for range 50 {
		checkConcurrentLists(t)
	}
}

// checkConcurrentLists passes lists concurrently to a new reader and checks the order in which they are
// delivered.
func checkConcurrentLists(t *testing.T) {
	t.Helper()
	const lists, yields = 200, 10
	var mu sync.Mutex
	var delivered []int64
	reader := &runnerListReader{deliver: func(list []protocol.Runner) {
		for range yields { // another goroutine's list would overtake this one here
			runtime.Gosched()
		}
		mu.Lock()
		defer mu.Unlock()
		delivered = append(delivered, list[0].RemainingMs)
	}}
	var senders sync.WaitGroup
	for sequence := uint64(1); sequence <= lists; sequence++ {
		senders.Go(func() {
			reader.update(protocol.RunnerList{Epoch: 1, Sequence: sequence, List: []protocol.Runner{{RemainingMs: int64(sequence)}}})
		})
	}
	senders.Wait()
	require.True(t, slices.IsSorted(delivered), "%v", delivered)
	require.Equal(t, int64(lists), delivered[len(delivered)-1])
}

// receiveList calls requestJoin at joinInterval, as a node does, until the recorder receives a list. It returns
// the list.
func receiveList(t *testing.T, recorder listRecorder, requestJoin func()) protocol.RunnerList {
	t.Helper()
	ticker := time.NewTicker(joinInterval)
	defer ticker.Stop()
	deadline := time.After(nodeTestTimeout)
	for {
		requestJoin()
		select {
		case list := <-recorder.lists:
			return list
		case <-ticker.C:
		case <-deadline:
			t.Fatal("no list was received")
		}
	}
}
