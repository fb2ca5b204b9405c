package controller

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"

	"weldscale/internal/fleetwire"
)

// simPlatformAPI simulates the platform's API, which returns the list of workers.
type simPlatformAPI struct{ workers []*simWorker }

func (p *simPlatformAPI) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	var list []map[string]any
	for _, worker := range p.workers {
		list = append(list, worker.entry())
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"Instances": list, "NextPageToken": nil})
}

// simWorker simulates a worker that changes its stage by orders. It checks the holder and the fencing token of each order.
type simWorker struct {
	site *simSite
	ip   string

	mutex    sync.Mutex
	stage    string
	sequence uint64
	token    uint64
	holder   string
}

// entry returns the worker's entry in the list of the platform.
func (w *simWorker) entry() map[string]any {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return map[string]any{"Id": "i-" + w.ip, "Service": simService, "Address": w.ip + ":80", "Zone": "z", "Slots": 8,
		"State": fleetwire.InstanceReady, "Stage": w.stage, "Models": []map[string]any{{"Name": "m", "Version": 1}}}
}

func (w *simWorker) ServeHTTP(answer http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if r.URL.Path != "/order" {
		_ = json.NewEncoder(answer).Encode(map[string]any{"Stage": w.stage, "Sequence": w.sequence})
		return
	}
	var order struct {
		Stage, Holder string
		FenceToken    uint64
	}
	if json.Unmarshal(body, &order) != nil {
		answer.WriteHeader(http.StatusBadRequest)
		return
	}
	w.site.checks.checkOrder(w, order.Holder, order.FenceToken)
	w.token, w.holder = order.FenceToken, order.Holder
	w.stage = order.Stage
	w.sequence++
	answer.WriteHeader(http.StatusAccepted)
}
