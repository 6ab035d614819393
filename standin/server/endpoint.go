package server

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/standin/httpclient"
)

// NewEndpoint returns an HTTP handler that serves the calls to one endpoint.
func NewEndpoint(name string, endpoints infra.Endpoints) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+httpclient.PathCall, func(w http.ResponseWriter, r *http.Request) {
		serveCall(w, r, name, endpoints)
	})
	mux.HandleFunc("GET "+httpclient.PathLoad, func(w http.ResponseWriter, r *http.Request) {
		load, err := endpoints.Load(r.Context(), name, "")
		if err != nil {
			writeError(w, err)
			return
		}
		_ = json.NewEncoder(w).Encode(load)
	})
	return mux
}

func serveCall(w http.ResponseWriter, r *http.Request, name string, endpoints infra.Endpoints) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, httpclient.MaxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	// Callers match refusals to requests by identifier, like responses.
	w.Header().Set(httpclient.HeaderRequestID, r.Header.Get(httpclient.HeaderRequestID))
	response, err := endpoints.Call(r.Context(), infra.EndpointRequest{
		Endpoint:    name,
		RequestID:   r.Header.Get(httpclient.HeaderRequestID),
		From:        r.Header.Get(httpclient.HeaderFrom),
		Body:        body,
		ContentType: r.Header.Get("Content-Type"),
		Idempotent:  r.Header.Get(httpclient.HeaderIdempotent) == "true",
	})
	if errors.Is(err, infra.ErrNotSent) || errors.Is(err, infra.ErrEndpointBusy) || errors.Is(err, infra.ErrEndpointLeaving) {
		writeError(w, err)
		return
	}
	if err != nil {
		// The connection ends without a response, so the outcome is unknown to the caller.
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(httpclient.HeaderRequestID, response.RequestID)
	w.Header().Set("Content-Type", response.ContentType)
	w.WriteHeader(response.Status)
	_, _ = w.Write(response.Body)
}
