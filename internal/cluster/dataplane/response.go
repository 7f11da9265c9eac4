package dataplane

import (
	"encoding/json"
	"net/http"
	"strconv"

	"basaltloft/internal/cluster/protocol"
)

// stateBody is the response body to a request for a job's state.
type stateBody struct {
	State string `json:"state"`
}

// countBody is the response body to a request for the number of a queue's pending jobs.
type countBody struct {
	Pending int `json:"pending"`
}

// submission stands for the submission of a job, which isn't a protocol.JobOperation: the nodes get it
// in a message type of its own. The body of its response to the client is an empty object.
const submission protocol.JobOperation = 0

// writeResponse writes the response to the client. The operation is submission for a submitted job.
func writeResponse(w http.ResponseWriter, operation protocol.JobOperation, response protocol.JobResponse) {
	if response.Status != http.StatusOK {
		reject(w, int(response.Status), response.Reason, response.RetryAfterMs)
		return
	}
	var body any = struct{}{}
	switch operation {
	case protocol.GetJobState:
		body = stateBody{State: response.State.String()}
	case protocol.CountPending:
		body = countBody{Pending: response.Pending}
	}
	content, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(content) // a client that has disconnected sends its request again
}

// reject writes the response to a request that was not served, with the time after which the client may
// retry (0: no Retry-After header). Status 0, which a node that isn't the leader returns, is sent as 503.
func reject(w http.ResponseWriter, status int, reason string, retryAfterMs int64) {
	const msPerSecond = 1000
	if status == 0 {
		status = http.StatusServiceUnavailable
	}
	if retryAfterMs > 0 {
		seconds := (retryAfterMs + msPerSecond - 1) / msPerSecond
		w.Header().Set("Retry-After", strconv.FormatInt(max(1, seconds), 10))
	}
	http.Error(w, reason, status)
}
