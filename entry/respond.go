package entry

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"siskinstack.example/siskinstack/refusal"
)

var marshal = protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}

// readBody reads the whole body within the size limit and the read deadline.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.options.MaxBodyBytes))
	if err == nil {
		// net/http keeps reading from the connection while the request is handled, and an expired read deadline would
		// cancel the request. The deadline stays set if the body was not read to its end, because net/http then reads the
		// rest to find the next request.
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	} else {
		w.Header().Set("Connection", "close")
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, refusal.New(refusal.BodyTooLarge, "the body is larger than %d bytes", tooLarge.Limit)
	}
	if err != nil {
		return nil, refusal.New(refusal.BadRequest, "read body: %v", err)
	}
	return body, nil
}

func (s *Server) writeJSON(w http.ResponseWriter, r *http.Request, status int, message proto.Message) {
	body, err := marshal.Marshal(message)
	if err != nil {
		s.refuse(w, r, err)
		return
	}
	s.write(w, status, "application/json", body)
}

// write sends a whole response. The write deadline closes the connection of a caller that reads too slowly.
func (s *Server) write(w http.ResponseWriter, status int, contentType string, body []byte) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(s.options.Timeouts.Write))
	if contentType != "" {
		w.Header().Set("Content-Type", contentType)
	} else {
		// Keeps net/http from sniffing a content type that the endpoint did not set.
		w.Header()["Content-Type"] = nil
	}
	if status != http.StatusNoContent && status != http.StatusNotModified {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// refusalBody is the JSON form of a refusal.
type refusalBody struct {
	RequestID    string `json:"request_id"`
	Reason       string `json:"reason"`
	Message      string `json:"message"`
	NotRun       bool   `json:"not_run"`
	RetryAfterMs int64  `json:"retry_after_ms"`
}

func (s *Server) refuse(w http.ResponseWriter, r *http.Request, err error) {
	refused := refusal.From(err)
	s.metrics.refusals.WithLabelValues(string(refused.Reason)).Inc()
	body, _ := json.Marshal(refusalBody{
		RequestID: RequestID(r.Context()), Reason: string(refused.Reason), Message: refused.Message,
		NotRun: refused.NotRun(), RetryAfterMs: refused.RetryAfter.Milliseconds(),
	})
	if refused.RetryAfter > 0 {
		seconds := (refused.RetryAfter + time.Second - 1) / time.Second
		w.Header().Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	w.Header().Set(HeaderReason, string(refused.Reason))
	s.write(w, refused.Reason.Status(), "application/json", body)
}

func (s *Server) notFound(w http.ResponseWriter, r *http.Request) {
	s.refuse(w, r, refusal.New(refusal.NotFound, "there is no route %s %s", r.Method, r.URL.Path))
}
