package rig

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// Step is a step of a job.
type Step struct {
	Count       int    `json:"count"`
	CPU         int64  `json:"cpu"`
	MemMB       int64  `json:"memMb"`
	EstimateMs  int64  `json:"estimateMs,omitempty"`
	LongRunning bool   `json:"longRunning,omitempty"`
	Image       string `json:"image,omitempty"`
	Gang        bool   `json:"gang,omitempty"`
}

// Client calls one node as a client does.
type Client struct {
	// Patience is how long the client waits for an answer; 0 is clientTimeout.
	Patience time.Duration

	site *Site
	node *Node
}

// Client returns a client of a node.
func (s *Site) Client(n *Node) *Client { return &Client{site: s, node: n} }

// clientTimeout is how long a client waits for an answer.
const clientTimeout = 3 * time.Second

func (c *Client) call(method, id string, body any) (int, []byte) {
	data := []byte{}
	if body != nil {
		data, _ = json.Marshal(body)
	}
	patience := clientTimeout
	if c.Patience > 0 {
		patience = c.Patience
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.node.Frontend+"/previews/"+id, bytes.NewReader(data))
	if err != nil {
		return 0, nil
	}
	request.Host = Host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Siskinstack-Credential", Key)
	request.Header.Set("Siskinstack-Deadline-Ms", "3000")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		c.site.Record("client: %s %q at %s: no answer (%v)", method, id, c.node.Name, err)
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	c.site.Record("client: %s %q at %s: %d %s", method, id, c.node.Name, response.StatusCode, bytes.TrimSpace(answer))
	return response.StatusCode, answer
}

// Submit hands a job in and returns the status of the answer, 0 if there was none.
func (c *Client) Submit(id string, steps ...Step) int {
	status, _ := c.call(http.MethodPost, id, map[string]any{"spec": "spec of " + id, "steps": steps})
	return status
}

// Cancel cancels a job.
func (c *Client) Cancel(id string) int {
	status, _ := c.call(http.MethodDelete, id, nil)
	return status
}

// State returns the state of a job.
func (c *Client) State(id string) (string, int) {
	status, answer := c.call(http.MethodGet, id, nil)
	var body struct {
		State string `json:"state"`
	}
	if json.Unmarshal(answer, &body) != nil {
		return "", status
	}
	return body.State, status
}

// Pending returns the queue's number of jobs that have not begun.
func (c *Client) Pending() (int, int) {
	status, answer := c.call(http.MethodGet, "", nil)
	var body struct {
		Pending int `json:"pending"`
	}
	if json.Unmarshal(answer, &body) != nil {
		return 0, status
	}
	return body.Pending, status
}
