package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"
)

// upkeepTime is how long the upkeep of a machine takes.
const upkeepTime = 2 * time.Second

// cloud lists the machines and carries out upkeeps.
type cloud struct {
	fleet   *fleet
	address string
	// onUpkeep is called with the fleet's mu held before an upkeep begins.
	onUpkeep func(r *runner, wave int64)
}

func newCloud(f *fleet) (*cloud, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &cloud{fleet: f, address: listener.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /siskinstack/machines", c.list)
	mux.HandleFunc("POST /siskinstack/machine-upkeep", c.upkeep)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	return c, nil
}

func (c *cloud) list(w http.ResponseWriter, _ *http.Request) {
	c.fleet.mu.Lock()
	machines := []map[string]any{}
	for _, r := range c.fleet.runners {
		entry := map[string]any{
			"machine": r.machine, "pool": service, "state": "up", "zone": r.zone, "labels": r.labels,
			"capacity": map[string]int64{"cpu": r.cpu, "memMb": 131072, "gpu": 0}, "id": r.id,
		}
		if r.down {
			entry["state"], entry["id"] = "down", ""
			if time.Now().Before(r.busyUntil) {
				entry["state"] = "upkeep"
			}
		}
		machines = append(machines, entry)
	}
	c.fleet.mu.Unlock()
	respond(w, http.StatusOK, map[string]any{"machines": machines, "nextToken": nil})
}

func (c *cloud) upkeep(w http.ResponseWriter, q *http.Request) {
	var body struct {
		Machine string `json:"machine"`
		Wave    int64  `json:"wave"`
	}
	if json.NewDecoder(q.Body).Decode(&body) != nil {
		respond(w, http.StatusBadRequest, map[string]string{})
		return
	}
	fence, _ := strconv.ParseInt(q.Header.Get("Siskinstack-Fencing-Token"), 10, 64)
	status, reason := c.carryOut(body.Machine, body.Wave)
	c.fleet.record.line("cloud: upkeep of %s for wave %d by %s, token %d: %d %s", body.Machine, body.Wave,
		q.Header.Get("Siskinstack-Duty-Holder"), fence, status, reason)
	if status == http.StatusOK {
		respond(w, status, map[string]string{})
		return
	}
	respond(w, status, map[string]string{"reason": reason})
}

func (c *cloud) carryOut(machine string, wave int64) (status int, reason string) {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	for _, r := range c.fleet.runners {
		if r.machine != machine {
			continue
		}
		switch {
		case r.wave == wave:
			return http.StatusOK, ""
		case r.down:
			return http.StatusConflict, "busy"
		}
		if c.onUpkeep != nil {
			c.onUpkeep(r, wave)
		}
		r.wave, r.down, r.busyUntil = wave, true, time.Now().Add(upkeepTime)
		r.current = newLife()
		time.AfterFunc(upkeepTime, r.restart)
		return http.StatusOK, ""
	}
	return http.StatusBadRequest, "unknown"
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
