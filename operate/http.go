package operate

import (
	"crypto/rand"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"siskinstack.example/siskinstack/jsoncheck"
	"siskinstack.example/siskinstack/refusal"
)

const headerRequestID = "Siskin-Request-Id"

// newRequestID returns a text with at least 128 random bits.
func newRequestID() string { return strings.ToLower(rand.Text()) }

// readBody reads the whole body up to MaxBodyBytes.
func (s *Server) readBody(c *call) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(c.writer, c.http.Body, s.options.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, refusal.New(refusal.BodyTooLarge, "the body is larger than %d bytes", tooLarge.Limit)
	case err != nil:
		return nil, refusal.New(refusal.BadRequest, "reading the body failed: %v", err)
	}
	return body, nil
}

// decode reads the body into a message.
func (s *Server) decode(c *call, into proto.Message) error {
	body, err := s.readBody(c)
	if err != nil {
		return err
	}
	findings, err := jsoncheck.Decode(body, into)
	return findingsRefusal(findings, err)
}

func findingsRefusal(findings jsoncheck.Findings, err error) error {
	if err != nil {
		return refusal.New(refusal.InternalError, "%v", err)
	}
	if err := findings.Err(); err != nil {
		return refusal.New(refusal.BadRequest, "%v", err)
	}
	return nil
}

func pathVersion(c *call) (int64, error) {
	text := c.http.PathValue("version")
	version, err := strconv.ParseInt(text, 10, 64)
	if err != nil || version < 1 || strconv.FormatInt(version, 10) != text {
		return 0, refusal.New(refusal.NotFound, "%.40q is not a bundle version", text)
	}
	return version, nil
}

func writeResponse(w http.ResponseWriter, requestID string, status int, response any) {
	var body []byte
	var err error
	if message, ok := response.(proto.Message); ok {
		body, err = marshalMessage(message)
	} else {
		body, err = json.Marshal(response)
	}
	if err != nil {
		writeRefusal(w, requestID, err)
		return
	}
	writeBody(w, requestID, status, body)
}

func marshalMessage(message proto.Message) ([]byte, error) {
	return protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(message)
}

// refusalBody is a refusal in JSON.
type refusalBody struct {
	RequestID    string `json:"request_id"`
	Reason       string `json:"reason"`
	Message      string `json:"message"`
	NotRun       bool   `json:"not_run"`
	RetryAfterMs int64  `json:"retry_after_ms"`
}

func writeRefusal(w http.ResponseWriter, requestID string, err error) {
	refused := refusal.From(err)
	body, err := json.Marshal(refusalBody{
		RequestID: requestID, Reason: string(refused.Reason), Message: refused.Message,
		NotRun: refused.NotRun(), RetryAfterMs: refused.RetryAfter.Milliseconds(),
	})
	if err != nil {
		body = []byte("{}")
	}
	writeBody(w, requestID, refused.Reason.Status(), body)
}

func writeBody(w http.ResponseWriter, requestID string, status int, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.Header().Set(headerRequestID, requestID)
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
