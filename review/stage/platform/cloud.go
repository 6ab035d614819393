package main

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// upkeepTime is how long the upkeep of a machine takes.
const upkeepTime = 2 * time.Second

// cloud is the platform's service for machines.
type cloud struct {
	stage *stage
	mu    sync.Mutex
	fence map[string]int64
	// ordered is the last wave of each machine, until is the end of its upkeep.
	ordered map[string]int64
	until   map[string]time.Time
	// upkeeps is called when an upkeep begins, before its runner ends.
	upkeeps func(machine string)
}

func (c *cloud) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /siskinstack/machines", func(w http.ResponseWriter, _ *http.Request) {
		c.mu.Lock()
		defer c.mu.Unlock()
		machines := []map[string]any{}
		for _, r := range c.stage.runners {
			r.mu.Lock()
			row := map[string]any{
				"machine": r.machine, "pool": service, "state": "up", "zone": r.zone, "labels": []string{r.kind, r.rack},
				"capacity": r.capacity, "id": r.id,
			}
			switch {
			case time.Now().Before(c.until[r.machine]):
				row["state"], row["id"] = "upkeep", ""
			case !r.up:
				row["state"], row["id"] = "down", ""
			}
			r.mu.Unlock()
			machines = append(machines, row)
		}
		answer(w, http.StatusOK, map[string]any{"machines": machines})
	})
	mux.HandleFunc("POST /siskinstack/machine-upkeep", c.serveUpkeep)
	return mux
}

func (c *cloud) serveUpkeep(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Machine string `json:"machine"`
		Wave    int64  `json:"wave"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	holder := r.Header.Get("Siskinstack-Duty-Holder")
	token, _ := strconv.ParseInt(r.Header.Get("Siskinstack-Fencing-Token"), 10, 64)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fence == nil {
		c.fence = map[string]int64{}
	}
	status, reason := http.StatusOK, ""
	switch {
	case token < c.fence[body.Machine]:
		status, reason = http.StatusConflict, "fence"
	case c.ordered[body.Machine] == body.Wave:
	case !c.begin(body.Machine, body.Wave):
		status, reason = http.StatusConflict, "busy"
	}
	c.fence[body.Machine] = max(c.fence[body.Machine], token)
	c.stage.record("upkeep ordered", "machine", body.Machine, "wave", body.Wave, "holder", holder, "token", token, "status", status,
		"reason", reason)
	if reason != "" {
		answer(w, status, map[string]string{"reason": reason})
		return
	}
	answer(w, status, struct{}{})
}

// begin begins an upkeep, which ends all that runs on the machine. The caller holds mu.
func (c *cloud) begin(machine string, wave int64) bool {
	for _, r := range c.stage.runners {
		if r.machine != machine {
			continue
		}
		r.mu.Lock()
		up := r.up
		r.mu.Unlock()
		if !up {
			return false
		}
		c.ordered[machine], c.until[machine] = wave, time.Now().Add(upkeepTime)
		if c.upkeeps != nil {
			c.upkeeps(machine)
		}
		r.crash()
		time.AfterFunc(upkeepTime, r.start)
		return true
	}
	return false
}
