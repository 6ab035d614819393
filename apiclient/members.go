package apiclient

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
)

const contentTypeJSON = "application/json"

func get(path string) call { return call{method: http.MethodGet, path: path, repeatable: true} }

// post is a call that may be sent once; repeatable marks those that have no further effect when sent again.
func post(path string, body []byte, repeatable bool) call {
	return call{
		method: http.MethodPost, path: path, body: body, repeatable: repeatable,
		headers: map[string]string{"Content-Type": contentTypeJSON},
	}
}

// Submit hands work in. With a request key it is safe to repeat.
func (c *Client) Submit(ctx context.Context, spec *siskinv1.WorkSpec, requestKey string) (Submitted, error) {
	body, err := encodeMessage(spec)
	if err != nil {
		return Submitted{}, err
	}
	request := post("/v1/work", body, requestKey != "")
	if requestKey != "" {
		request.headers[headerRequestKey] = requestKey
	}
	got, err := c.do(ctx, request)
	if err != nil {
		return Submitted{}, err
	}
	return decode[Submitted](got)
}

// ListWork returns the work of the key's team after an identifier; limit 0 selects the server's limit.
func (c *Client) ListWork(ctx context.Context, limit int, after string) (WorkList, error) {
	query := url.Values{}
	if limit > 0 {
		query.Set("limit", strconv.Itoa(limit))
	}
	if after != "" {
		query.Set("after_id", after)
	}
	got, err := c.do(ctx, get("/v1/work?"+query.Encode()))
	if err != nil {
		return WorkList{}, err
	}
	raw, err := decode[struct {
		Work              []json.RawMessage `json:"work"`
		UnavailableShards []string          `json:"unavailable_shards"`
	}](got)
	list := WorkList{UnavailableShards: raw.UnavailableShards}
	for _, text := range raw.Work {
		status := &siskinv1.WorkStatus{}
		if err := decodeMessage(text, status); err != nil {
			return WorkList{}, err
		}
		list.Work = append(list.Work, status)
	}
	return list, err
}

// Work returns the state of work.
func (c *Client) Work(ctx context.Context, id string) (*siskinv1.WorkStatus, error) {
	return c.workStatus(ctx, get("/v1/work/"+url.PathEscape(id)))
}

// CancelWork cancels work. Repeating it has no further effect.
func (c *Client) CancelWork(ctx context.Context, id string) (*siskinv1.WorkStatus, error) {
	return c.workStatus(ctx, post("/v1/work/"+url.PathEscape(id)+"/cancel", nil, true))
}

func (c *Client) workStatus(ctx context.Context, request call) (*siskinv1.WorkStatus, error) {
	got, err := c.do(ctx, request)
	if err != nil {
		return nil, err
	}
	if err := expect(got); err != nil {
		return nil, err
	}
	status := &siskinv1.WorkStatus{}
	return status, decodeMessage(got.body, status)
}

// ExplainWork says why work waits.
func (c *Client) ExplainWork(ctx context.Context, id string) (Explanation, error) {
	got, err := c.do(ctx, get("/v1/work/"+url.PathEscape(id)+"/explain"))
	if err != nil {
		return Explanation{}, err
	}
	return decode[Explanation](got)
}

// Request is one request to a service.
type Request struct {
	Service     string
	Body        []byte
	ContentType string
	// Idempotent is true if a second run has no further effect.
	Idempotent bool
	// RequestKey lets a request that is not idempotent be sent again without a second run.
	RequestKey string
	Urgency    string
	// Timeout is passed on to the service; 0 selects the service's own.
	Timeout time.Duration
}

// Response is the whole answer of a service.
type Response struct {
	RequestID   string
	Status      int
	ContentType string
	Body        []byte
}

// Send sends a request to a service.
func (c *Client) Send(ctx context.Context, request Request) (Response, error) {
	got, err := c.do(ctx, requestCall(request))
	if err != nil {
		return Response{}, err
	}
	return Response{RequestID: got.requestID, Status: got.status, ContentType: got.contentType, Body: got.body}, nil
}

func requestCall(request Request) call {
	repeatable := request.Idempotent || request.RequestKey != ""
	sent := post("/v1/services/"+url.PathEscape(request.Service)+"/requests", request.Body, repeatable)
	sent.headers[headerIdempotent] = strconv.FormatBool(request.Idempotent)
	if request.ContentType != "" {
		sent.headers["Content-Type"] = request.ContentType
	}
	if request.RequestKey != "" {
		sent.headers[headerRequestKey] = request.RequestKey
	}
	if request.Urgency != "" {
		sent.headers[headerUrgency] = request.Urgency
	}
	if request.Timeout > 0 {
		sent.headers[headerTimeout] = strconv.FormatInt(request.Timeout.Milliseconds(), 10)
	}
	return sent
}
