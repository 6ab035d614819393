// Package server serves the simulated platform over HTTP/JSON, in the protocol of package httpclient.
package server

import (
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/standin/httpclient"
)

// maxBodyBytes bounds a request: base64 enlarges a store value of one megabyte by a third.
const maxBodyBytes = 2 << 20

// New returns an HTTP handler for the store, the list of VMs and the workers.
func New(store infra.Store, vms infra.VMList, workers infra.Workers) http.Handler {
	mux := http.NewServeMux()
	handleStore(mux, store)
	handleWorkers(mux, workers)
	handle(mux, httpclient.PathVMs, func(ctx context.Context, r httpclient.VMsRequest) (httpclient.VMsResponse, error) {
		return listVMs(ctx, vms, r)
	})
	return mux
}

// listVMs omits the list if the caller already has it.
func listVMs(ctx context.Context, vms infra.VMList, r httpclient.VMsRequest) (httpclient.VMsResponse, error) {
	list, err := vms.List(ctx)
	if err != nil {
		return httpclient.VMsResponse{}, err
	}
	text, err := json.Marshal(list.VMs)
	if err != nil {
		return httpclient.VMsResponse{}, err
	}
	response := httpclient.VMsResponse{Tag: strconv.FormatUint(xxhash.Sum64(text), 16), Lag: list.Lag}
	if response.Tag == r.Known {
		response.Unchanged = true
		return response, nil
	}
	response.VMs = list.VMs
	return response, nil
}

func handleStore(mux *http.ServeMux, store infra.Store) {
	handle(mux, httpclient.PathGet, func(ctx context.Context, r httpclient.KeyRequest) (infra.KeyValue, error) {
		return store.Get(ctx, r.Key)
	})
	handle(mux, httpclient.PathList, func(ctx context.Context, r httpclient.KeyRequest) (infra.Listing, error) {
		return store.List(ctx, r.Key)
	})
	handle(mux, httpclient.PathPut, store.Put)
	handle(mux, httpclient.PathDelete, func(ctx context.Context, r httpclient.KeyRequest) (struct{}, error) {
		return struct{}{}, store.Delete(ctx, r.Key, r.Expected)
	})
	handle(mux, httpclient.PathGrant, func(ctx context.Context, r httpclient.LeaseRequest) (infra.LeaseID, error) {
		return store.GrantLease(ctx, r.TTL)
	})
	handle(mux, httpclient.PathRenewLease, func(ctx context.Context, r httpclient.LeaseRequest) (struct{}, error) {
		return struct{}{}, store.RenewLease(ctx, r.Lease)
	})
	handle(mux, httpclient.PathRevoke, func(ctx context.Context, r httpclient.LeaseRequest) (struct{}, error) {
		return struct{}{}, store.RevokeLease(ctx, r.Lease)
	})
	handle(mux, httpclient.PathWatch, store.Watch)
}

func handleWorkers(mux *http.ServeMux, workers infra.Workers) {
	handle(mux, httpclient.PathStart, withoutResult(workers.Start))
	handle(mux, httpclient.PathRenew, workers.Renew)
	handle(mux, httpclient.PathStop, withoutResult(workers.Stop))
	handle(mux, httpclient.PathCheckpoint, withoutResult(workers.Checkpoint))
	handle(mux, httpclient.PathThrottle, withoutResult(workers.Throttle))
}

func withoutResult[Q any](call func(context.Context, Q) error) func(context.Context, Q) (struct{}, error) {
	return func(ctx context.Context, request Q) (struct{}, error) {
		return struct{}{}, call(ctx, request)
	}
}

// handle serves one call as a POST with JSON in the request and the response.
func handle[Q, A any](mux *http.ServeMux, path string, call func(context.Context, Q) (A, error)) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		var request Q
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&request); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		result, err := call(r.Context(), request)
		if err != nil {
			writeError(w, err)
			return
		}
		writeResponse(w, r, result)
	})
}

// minCompressed is the size from which responses are compressed for callers that accept it: mainly the list of VMs.
const minCompressed = 16 << 10

func writeResponse(w http.ResponseWriter, r *http.Request, result any) {
	text, err := json.Marshal(result)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if len(text) < minCompressed || !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		_, _ = w.Write(text)
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	compressor := gzip.NewWriter(w)
	_, _ = compressor.Write(text)
	_ = compressor.Close()
}

func writeError(w http.ResponseWriter, err error) {
	for code, known := range httpclient.Errors {
		if errors.Is(err, known) {
			w.Header().Set(httpclient.HeaderError, code)
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
	}
	http.Error(w, err.Error(), http.StatusServiceUnavailable)
}
