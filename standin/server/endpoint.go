package server

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"siskinstack.example/siskinstack/platform"
	"siskinstack.example/siskinstack/platform/httpplatform"
)

// NewEndpoint returns a handler for one endpoint.
func NewEndpoint(name string, endpoints platform.Endpoints) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+httpplatform.PathCall, func(w http.ResponseWriter, r *http.Request) {
		serveCall(w, r, name, endpoints)
	})
	mux.HandleFunc("GET "+httpplatform.PathLoad, func(w http.ResponseWriter, r *http.Request) {
		load, err := endpoints.Load(r.Context(), name, "")
		if err != nil {
			writeError(w, err)
			return
		}
		_ = json.NewEncoder(w).Encode(load)
	})
	return mux
}

func serveCall(w http.ResponseWriter, r *http.Request, name string, endpoints platform.Endpoints) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, httpplatform.MaxAnswerBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	// Refusals are matched by request like answers.
	w.Header().Set(httpplatform.HeaderRequestID, r.Header.Get(httpplatform.HeaderRequestID))
	answer, err := endpoints.Call(r.Context(), platform.EndpointRequest{
		Endpoint:    name,
		RequestID:   r.Header.Get(httpplatform.HeaderRequestID),
		From:        r.Header.Get(httpplatform.HeaderFrom),
		Body:        body,
		ContentType: r.Header.Get("Content-Type"),
		Idempotent:  r.Header.Get(httpplatform.HeaderIdempotent) == "true",
	})
	if errors.Is(err, platform.ErrNotSent) || errors.Is(err, platform.ErrEndpointBusy) || errors.Is(err, platform.ErrEndpointLeaving) {
		writeError(w, err)
		return
	}
	if err != nil {
		// The outcome stays unknown to the caller: the connection ends without an answer.
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(httpplatform.HeaderRequestID, answer.RequestID)
	w.Header().Set("Content-Type", answer.ContentType)
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}
