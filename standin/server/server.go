// Package server serves the stand-ins over HTTP/JSON, in the form that package httpplatform speaks.
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

	"siskinstack.example/siskinstack/platform"
	"siskinstack.example/siskinstack/platform/httpplatform"
)

// maxBodyBytes bounds a request: a store value of a megabyte grows by a third in base64.
const maxBodyBytes = 2 << 20

// New returns a handler for the platform's parts.
func New(store platform.Store, vms platform.VMList, workers platform.Workers) http.Handler {
	mux := http.NewServeMux()
	handleStore(mux, store)
	handleWorkers(mux, workers)
	handle(mux, httpplatform.PathVMs, func(ctx context.Context, r httpplatform.VMsRequest) (httpplatform.VMsAnswer, error) {
		return listVMs(ctx, vms, r)
	})
	return mux
}

// listVMs leaves the list out if the caller has it already.
func listVMs(ctx context.Context, vms platform.VMList, r httpplatform.VMsRequest) (httpplatform.VMsAnswer, error) {
	list, err := vms.List(ctx)
	if err != nil {
		return httpplatform.VMsAnswer{}, err
	}
	text, err := json.Marshal(list.VMs)
	if err != nil {
		return httpplatform.VMsAnswer{}, err
	}
	answer := httpplatform.VMsAnswer{Tag: strconv.FormatUint(xxhash.Sum64(text), 16), Lag: list.Lag}
	if answer.Tag == r.Known {
		answer.Unchanged = true
		return answer, nil
	}
	answer.VMs = list.VMs
	return answer, nil
}

func handleStore(mux *http.ServeMux, store platform.Store) {
	handle(mux, httpplatform.PathGet, func(ctx context.Context, r httpplatform.KeyRequest) (platform.KeyValue, error) {
		return store.Get(ctx, r.Key)
	})
	handle(mux, httpplatform.PathList, func(ctx context.Context, r httpplatform.KeyRequest) (platform.Listing, error) {
		return store.List(ctx, r.Key)
	})
	handle(mux, httpplatform.PathPut, store.Put)
	handle(mux, httpplatform.PathDelete, func(ctx context.Context, r httpplatform.KeyRequest) (struct{}, error) {
		return struct{}{}, store.Delete(ctx, r.Key, r.Expected)
	})
	handle(mux, httpplatform.PathGrant, func(ctx context.Context, r httpplatform.LeaseRequest) (platform.LeaseID, error) {
		return store.GrantLease(ctx, r.TTL)
	})
	handle(mux, httpplatform.PathRenewLease, func(ctx context.Context, r httpplatform.LeaseRequest) (struct{}, error) {
		return struct{}{}, store.RenewLease(ctx, r.Lease)
	})
	handle(mux, httpplatform.PathRevoke, func(ctx context.Context, r httpplatform.LeaseRequest) (struct{}, error) {
		return struct{}{}, store.RevokeLease(ctx, r.Lease)
	})
	handle(mux, httpplatform.PathWatch, store.Watch)
}

func handleWorkers(mux *http.ServeMux, workers platform.Workers) {
	handle(mux, httpplatform.PathStart, noAnswer(workers.Start))
	handle(mux, httpplatform.PathRenew, workers.Renew)
	handle(mux, httpplatform.PathStop, noAnswer(workers.Stop))
	handle(mux, httpplatform.PathCheckpoint, noAnswer(workers.Checkpoint))
	handle(mux, httpplatform.PathThrottle, noAnswer(workers.Throttle))
}

func noAnswer[Q any](call func(context.Context, Q) error) func(context.Context, Q) (struct{}, error) {
	return func(ctx context.Context, request Q) (struct{}, error) {
		return struct{}{}, call(ctx, request)
	}
}

// handle serves one call as a POST with JSON both ways.
func handle[Q, A any](mux *http.ServeMux, path string, call func(context.Context, Q) (A, error)) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		var request Q
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&request); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		answer, err := call(r.Context(), request)
		if err != nil {
			writeError(w, err)
			return
		}
		writeAnswer(w, r, answer)
	})
}

// minCompressed is the size from which answers are compressed for callers that accept it: mainly the list of VMs.
const minCompressed = 16 << 10

func writeAnswer(w http.ResponseWriter, r *http.Request, answer any) {
	text, err := json.Marshal(answer)
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
	for code, known := range httpplatform.Errors {
		if errors.Is(err, known) {
			w.Header().Set(httpplatform.HeaderError, code)
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
	}
	http.Error(w, err.Error(), http.StatusServiceUnavailable)
}
