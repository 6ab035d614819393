// Package entry serves callers over HTTP/JSON under /v1.
package entry

import (
	"crypto/rand"
	"encoding/base32"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/peer"
	"siskinstack.example/siskinstack/refusal"
)

// defaultMaxBodyBytes bounds a request body if the settings name no limit.
const defaultMaxBodyBytes = 1 << 20

// Headers of the caller's protocol.
const (
	HeaderRequestID  = "Siskin-Request-Id"
	HeaderRequestKey = "Siskin-Request-Key"
	HeaderIdempotent = "Siskin-Idempotent"
	HeaderTimeout    = "Siskin-Timeout-Ms"
)

// Server is the HTTP server for callers.
type Server struct {
	Work peer.Work
	// Shards lists the names of all shards.
	Shards func() []string
}

// Handler returns the handler of all routes.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/work", s.submit)
	mux.HandleFunc("GET /v1/work/{id}", s.get)
	return mux
}

func (s *Server) submit(w http.ResponseWriter, r *http.Request) {
	requestID := newID()
	spec := &siskinv1.WorkSpec{}
	if err := readJSON(w, r, spec); err != nil {
		writeRefusal(w, requestID, err)
		return
	}
	shards := s.Shards()
	if len(shards) == 0 {
		writeRefusal(w, requestID, refusal.New(refusal.ShardUnavailable, "no shard is configured"))
		return
	}
	id := newID()
	shard := shards[int(id[0])%len(shards)]
	answer, err := s.Work.Submit(r.Context(), &siskinv1.SubmitWorkRequest{
		Shard: shard, Id: shard + "." + id, Team: spec.GetQueue(), Spec: spec,
	})
	if err != nil {
		writeRefusal(w, requestID, err)
		return
	}
	writeJSON(w, requestID, http.StatusAccepted, answer)
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	requestID := newID()
	answer, err := s.Work.Get(r.Context(), &siskinv1.GetWorkRequest{Id: r.PathValue("id")})
	if err != nil {
		writeRefusal(w, requestID, err)
		return
	}
	writeJSON(w, requestID, http.StatusOK, answer.GetStatus())
}

// newID returns 100 random bits in lower-case base32.
func newID() string {
	var bits [20]byte
	_, _ = rand.Read(bits[:])
	return strings.ToLower(base32.StdEncoding.EncodeToString(bits[:]))[:20]
}

func readJSON(w http.ResponseWriter, r *http.Request, into proto.Message) error {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, defaultMaxBodyBytes))
	if err != nil {
		return refusal.New(refusal.BodyTooLarge, "%v", err)
	}
	if err := protojson.Unmarshal(body, into); err != nil {
		return refusal.New(refusal.BadRequest, "%v", err)
	}
	return nil
}

func writeJSON(w http.ResponseWriter, requestID string, status int, message proto.Message) {
	body, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(message)
	if err != nil {
		writeRefusal(w, requestID, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderRequestID, requestID)
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

func writeRefusal(w http.ResponseWriter, requestID string, err error) {
	refused := refusal.From(err)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderRequestID, requestID)
	w.WriteHeader(refused.Reason.Status())
	_ = json.NewEncoder(w).Encode(refusalBody{
		RequestID: requestID, Reason: string(refused.Reason), Message: refused.Message,
		NotRun: refused.NotRun(), RetryAfterMs: refused.RetryAfter.Milliseconds(),
	})
}
