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

// post returns a POST call; repeatable is true if sending it again has no further effect.
func post(path string, body []byte, repeatable bool) call {
	return call{
		method: http.MethodPost, path: path, body: body, repeatable: repeatable,
		headers: map[string]string{"Content-Type": contentTypeJSON},
	}
}

// Submit submits work. With a request key it is safe to repeat.
func (c *Client) Submit(ctx context.Context, spec *siskinv1.WorkSpec, requestKey string) (Submitted, error) {
	body, err := encodeMessage(spec)
	if err != nil {
		return Submitted{}, err
	}
	request := post("/v1/work", body, requestKey != "")
	if requestKey != "" {
		request.headers[headerRequestKey] = requestKey
	}
	resp, err := c.do(ctx, request)
	if err != nil {
		return Submitted{}, err
	}
	return decode[Submitted](resp)
}

// ListWork returns a page of the work of the key's team that follows the work ID after; limit 0 selects the server's
// limit.
func (c *Client) ListWork(ctx context.Context, limit int, after string) (WorkList, error) {
	query := url.Values{}
	if limit > 0 {
		query.Set("limit", strconv.Itoa(limit))
	}
	if after != "" {
		query.Set("after_id", after)
	}
	resp, err := c.do(ctx, get("/v1/work?"+query.Encode()))
	if err != nil {
		return WorkList{}, err
	}
	page, err := decode[struct {
		Work              []json.RawMessage `json:"work"`
		UnavailableShards []string          `json:"unavailable_shards"`
	}](resp)
	list := WorkList{UnavailableShards: page.UnavailableShards}
	for _, text := range page.Work {
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
	resp, err := c.do(ctx, request)
	if err != nil {
		return nil, err
	}
	if err := checkStatus(resp); err != nil {
		return nil, err
	}
	status := &siskinv1.WorkStatus{}
	return status, decodeMessage(resp.body, status)
}

// ExplainWork returns why work waits.
func (c *Client) ExplainWork(ctx context.Context, id string) (Explanation, error) {
	resp, err := c.do(ctx, get("/v1/work/"+url.PathEscape(id)+"/explain"))
	if err != nil {
		return Explanation{}, err
	}
	return decode[Explanation](resp)
}

// Request is one request to a service.
type Request struct {
	Service     string
	Body        []byte
	ContentType string
	// Idempotent is true if a second run has no further effect.
	Idempotent bool
	// RequestKey allows a request that is not idempotent to be sent again without a second run.
	RequestKey string
	Urgency    string
	// Timeout is passed on to the service; 0 selects the service's default.
	Timeout time.Duration
}

// Response is the complete response of a service.
type Response struct {
	RequestID   string
	Status      int
	ContentType string
	Body        []byte
}

// Send sends a request to a service.
func (c *Client) Send(ctx context.Context, request Request) (Response, error) {
	resp, err := c.do(ctx, requestCall(request))
	if err != nil {
		return Response{}, err
	}
	return Response{RequestID: resp.requestID, Status: resp.status, ContentType: resp.contentType, Body: resp.body}, nil
}

func requestCall(request Request) call {
	repeatable := request.Idempotent || request.RequestKey != ""
	serviceCall := post("/v1/services/"+url.PathEscape(request.Service)+"/requests", request.Body, repeatable)
	serviceCall.headers[headerIdempotent] = strconv.FormatBool(request.Idempotent)
	if request.ContentType != "" {
		serviceCall.headers["Content-Type"] = request.ContentType
	}
	if request.RequestKey != "" {
		serviceCall.headers[headerRequestKey] = request.RequestKey
	}
	if request.Urgency != "" {
		serviceCall.headers[headerUrgency] = request.Urgency
	}
	if request.Timeout > 0 {
		serviceCall.headers[headerTimeout] = strconv.FormatInt(request.Timeout.Milliseconds(), 10)
	}
	return serviceCall
}
