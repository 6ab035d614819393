package demo

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/apiclient"
	"siskinstack.example/siskinstack/bundle"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/refusal"
	"siskinstack.example/siskinstack/resource"
	"siskinstack.example/siskinstack/standin"
	"siskinstack.example/siskinstack/standin/site"
)

// naive is a minimal system that keeps every guarantee: six HTTP servers that share one state in memory.
type naive struct {
	cluster *cluster

	mu       sync.Mutex // guards all fields below
	serial   int
	version  int64
	proposal *siskinv1.BundleProposal
	keys     map[string]*apiclient.Key
	secrets  map[string]string
	drained  map[string]bool
	leaving  map[string]bool
	jobs     []*naiveJob
	claims   map[string]*naiveClaim
}

type naiveJob struct {
	status *siskinv1.WorkStatus
	// each is the amount that one task needs.
	each resource.Vector
	// next is the index of the next task to start.
	next int32
}

type naiveClaim struct {
	done bool
	text []byte
}

type naiveVM struct {
	*naive
	settings *siskinv1.Settings
	server   *http.Server
}

func (v *naiveVM) Kill() { _ = v.server.Close() }

func (v *naiveVM) Run(ctx context.Context) error {
	shards := startBackground(ctx, v.ownShards)
	defer shards.stop()
	go func() {
		<-ctx.Done()
		// A request that was sent just before the stop may still be in transit; Shutdown would close its connection.
		pause(context.Background(), 100*time.Millisecond)
		_ = v.server.Shutdown(context.Background())
	}()
	return v.server.ListenAndServe()
}

// ownShards acquires every shard that has no owner, under one lease, until ctx ends or the lease cannot be renewed; it
// then revokes the lease.
func (v *naiveVM) ownShards(ctx context.Context) {
	store := v.cluster.platform.Store
	lease, _ := store.GrantLease(ctx, 500*time.Millisecond)
	for pause(ctx, 50*time.Millisecond) && store.RenewLease(standin.WithCaller(ctx, v.settings.GetVm()), lease) == nil {
		for _, zone := range v.cluster.site.Zones {
			_, _ = store.Put(standin.WithCaller(ctx, v.settings.GetVm()), infra.PutRequest{
				Key: "shards/" + zone + "-0", Value: []byte(v.settings.GetVm()), Lease: lease,
			})
		}
	}
	_ = store.RevokeLease(standin.WithCaller(context.Background(), v.settings.GetVm()), lease)
}

func (n *naive) id(kind string) string {
	n.serial++
	return fmt.Sprintf("%s%d", kind, n.serial)
}

func writeJSON(w http.ResponseWriter, value any) {
	if message, ok := value.(proto.Message); ok {
		text, _ := protojson.MarshalOptions{UseProtoNames: true}.Marshal(message)
		_, _ = w.Write(text)
		return
	}
	_ = json.NewEncoder(w).Encode(value)
}

func refuse(w http.ResponseWriter, reason refusal.Reason) {
	w.Header().Set("Siskin-Request-Id", "refused")
	w.WriteHeader(reason.Status())
	writeJSON(w, map[string]any{"request_id": "refused", "reason": reason, "not_run": reason.NotRun()})
}

// team returns the team of the request's key, or the reason to refuse the key.
func (n *naive) team(r *http.Request) (string, refusal.Reason) {
	bearer, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return "", refusal.KeyMissing
	}
	key := n.keys[n.secrets[bearer]]
	switch {
	case key == nil:
		return "", refusal.KeyUnknown
	case key.Withdrawn:
		return "", refusal.KeyWithdrawn
	}
	return key.Team, ""
}

func (v *naiveVM) handler() http.Handler {
	mux := http.NewServeMux()
	handle := func(pattern string, serve func(http.ResponseWriter, *http.Request, []byte)) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			w.Header().Set("Siskin-Request-Id", "answered")
			v.mu.Lock()
			defer v.mu.Unlock()
			serve(w, r, body)
		})
	}
	handle("POST /v1/bundles", v.propose)
	handle("POST /v1/bundles/{version}/{act}", v.approve)
	handle("GET /v1/bundles/status", func(w http.ResponseWriter, _ *http.Request, _ []byte) {
		writeJSON(w, apiclient.BundleStatus{VMs: []apiclient.BundleVMStatus{{VM: v.settings.GetVm(), Version: apiclient.Int(v.version)}}})
	})
	handle("POST /v1/keys", v.issue)
	handle("POST /v1/keys/{id}/withdraw", func(w http.ResponseWriter, r *http.Request, _ []byte) {
		v.keys[r.PathValue("id")].Withdrawn = true
		writeJSON(w, v.keys[r.PathValue("id")])
	})
	handle("POST /v1/zones/{zone}/{act}", func(w http.ResponseWriter, r *http.Request, _ []byte) {
		v.drained[r.PathValue("zone")] = r.PathValue("act") == "drain"
		writeJSON(w, apiclient.ZoneStatus{})
	})
	handle("POST /v1/work", v.accept)
	handle("GET /v1/work", func(w http.ResponseWriter, r *http.Request, _ []byte) {
		if _, reason := v.team(r); reason != "" {
			refuse(w, reason)
			return
		}
		writeJSON(w, map[string]any{"work": []any{}})
	})
	handle("GET /v1/work/{id}", func(w http.ResponseWriter, r *http.Request, _ []byte) {
		for _, job := range v.jobs {
			if job.status.GetId() == r.PathValue("id") {
				writeJSON(w, job.status)
				return
			}
		}
		refuse(w, refusal.NotFound)
	})
	mux.HandleFunc("POST /v1/services/{service}/requests", v.forward)
	return mux
}

func (v *naiveVM) propose(w http.ResponseWriter, _ *http.Request, body []byte) {
	v.proposal = &siskinv1.BundleProposal{Bundle: &siskinv1.Bundle{}, Author: author}
	_ = protojson.Unmarshal(body, v.proposal.GetBundle())
	v.proposal.ContentSha256, _ = bundle.ContentHash(v.proposal.GetBundle())
	writeJSON(w, v.proposal)
}

func (v *naiveVM) approve(w http.ResponseWriter, r *http.Request, _ []byte) {
	if r.PathValue("act") == "sign-off" {
		v.version, _ = strconv.ParseInt(r.PathValue("version"), 10, 64)
	}
	v.proposal.Reviewer = reviewer
	writeJSON(w, v.proposal)
}

func (v *naiveVM) issue(w http.ResponseWriter, _ *http.Request, body []byte) {
	key := apiclient.IssuedKey{ID: v.id("key")}
	_ = json.Unmarshal(body, &key)
	key.Key = "sk_" + key.ID + "_secret"
	v.keys[key.ID], v.secrets[key.Key] = &apiclient.Key{ID: key.ID, Team: key.Team}, key.ID
	writeJSON(w, key)
}

func (v *naiveVM) accept(w http.ResponseWriter, r *http.Request, body []byte) {
	spec := &siskinv1.WorkSpec{}
	_ = protojson.Unmarshal(body, spec)
	team, reason := v.team(r)
	if reason == "" && team != spec.GetQueue() {
		reason = refusal.KeyWrongTeam
	}
	if reason != "" {
		refuse(w, reason)
		return
	}
	for _, job := range v.jobs {
		if job.status.GetSpec().GetName() == spec.GetName() {
			writeJSON(w, apiclient.Submitted{ID: job.status.GetId(), Repeated: true})
			return
		}
	}
	job := &naiveJob{each: resource.FromProto(spec.GetEach()), status: &siskinv1.WorkStatus{
		Id: v.id("job"), Team: team, Spec: spec, Queued: spec.GetCount(),
	}}
	v.jobs = append(v.jobs, job)
	writeJSON(w, apiclient.Submitted{ID: job.status.GetId()})
}

// forward runs a request on any endpoint with a free slot; a claim prevents a request with a key from running twice.
func (v *naiveVM) forward(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	sum := sha256.Sum256([]byte(strconv.FormatInt(time.Now().UnixNano(), 10) + string(body)))
	id, key := hex.EncodeToString(sum[:]), r.Header.Get("Siskin-Request-Key")
	v.mu.Lock()
	_, reason := v.team(r)
	claim, claimed := v.claims[key]
	if key != "" && !claimed && reason == "" {
		claim = &naiveClaim{}
		v.claims[key] = claim
	}
	v.mu.Unlock()
	switch {
	case reason != "":
		refuse(w, reason)
		return
	case claimed && !claim.done:
		refuse(w, refusal.InProgress)
		return
	case claimed:
		w.Header().Set("Siskin-Request-Id", id)
		_, _ = w.Write(claim.text)
		return
	}
	response, err := v.callAny(r.Context(), id, body)
	if err != nil {
		refuse(w, refusal.OutcomeUnknown)
		return
	}
	if claim != nil {
		v.mu.Lock()
		claim.done, claim.text = true, response.Body
		v.mu.Unlock()
	}
	w.Header().Set("Siskin-Request-Id", id)
	_, _ = w.Write(response.Body)
}

func (v *naiveVM) callAny(ctx context.Context, id string, body []byte) (infra.EndpointResponse, error) {
	for {
		for _, vm := range v.cluster.platform.Fleet {
			v.mu.Lock()
			skip := vm.Role != infra.RoleEndpoint || v.leaving[vm.Name]
			v.mu.Unlock()
			if skip {
				continue
			}
			response, err := v.cluster.platform.Endpoints.Call(ctx, infra.EndpointRequest{
				Endpoint: vm.Name, RequestID: id, From: v.settings.GetVm(), Body: body,
			})
			if errors.Is(err, infra.ErrEndpointLeaving) {
				v.mu.Lock()
				v.leaving[vm.Name] = true
				v.mu.Unlock()
			}
			if err == nil || !errors.Is(err, infra.ErrEndpointLeaving) && !errors.Is(err, infra.ErrEndpointBusy) {
				return response, err
			}
		}
		if !pause(ctx, time.Millisecond) {
			return infra.EndpointResponse{}, ctx.Err()
		}
	}
}

// schedule starts tasks on the first worker with enough free resources, and collects ended tasks.
func (n *naive) schedule(ctx context.Context) {
	running := map[string]resource.Vector{}
	for pause(ctx, 20*time.Millisecond) {
		n.mu.Lock()
		for _, vm := range n.cluster.platform.Fleet {
			if vm.Role == infra.RoleWorker {
				n.collect(ctx, vm.Name, running)
			}
		}
		for _, job := range n.jobs {
			for job.status.GetQueued() > 0 && n.startNext(ctx, job, running) {
			}
		}
		n.mu.Unlock()
	}
}

func (n *naive) collect(ctx context.Context, worker string, running map[string]resource.Vector) {
	report, _ := n.cluster.platform.Workers.Renew(ctx, infra.RenewRequest{Worker: worker, Lease: time.Hour})
	var ended []infra.TaskRef
	for _, task := range report.Tasks {
		if task.Phase == infra.PhaseRunning {
			continue
		}
		ended = append(ended, task.Task)
		for _, job := range n.jobs {
			if job.status.GetId() == task.Task.Job {
				job.status.Running--
				job.status.Succeeded++
				running[task.Team] = running[task.Team].Sub(job.each)
			}
		}
	}
	_, _ = n.cluster.platform.Workers.Renew(ctx, infra.RenewRequest{Worker: worker, Lease: time.Hour, Acknowledged: ended})
}

func (n *naive) startNext(ctx context.Context, job *naiveJob, running map[string]resource.Vector) bool {
	team := job.status.GetTeam()
	var ceiling resource.Vector
	for _, t := range n.cluster.site.Bundle(1).GetTeams() {
		if t.GetName() == team {
			ceiling = resource.FromProto(t.GetCeiling())
		}
	}
	if !running[team].Add(job.each).Fits(ceiling) {
		return false
	}
	for _, vm := range n.cluster.platform.Fleet {
		if vm.Role != infra.RoleWorker || n.drained[vm.Zone] {
			continue
		}
		spec := job.status.GetSpec()
		err := n.cluster.platform.Workers.Start(ctx, infra.StartRequest{
			Worker: vm.Name, Team: team, Resources: job.each, Lease: time.Hour, Command: spec.GetCommand(),
			Task:       infra.TaskRef{Job: job.status.GetId(), Index: job.next, Attempt: 1},
			AtMostOnce: spec.GetAtMostOnce(),
		})
		if err == nil {
			running[team] = running[team].Add(job.each)
			job.next++
			job.status.Queued--
			job.status.Running++
			return true
		}
	}
	return false
}

// TestDemoCanSucceed guards against a demo whose steps or checks no system can satisfy.
func TestDemoCanSucceed(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	n := &naive{
		keys: map[string]*apiclient.Key{}, secrets: map[string]string{}, drained: map[string]bool{},
		leaving: map[string]bool{}, claims: map[string]*naiveClaim{},
	}
	var scheduling *background
	report, err := runWith(ctx, site.Kvarali(), func(s Step) { t.Logf("%+v", s) }, func(c *cluster, s *siskinv1.Settings) process {
		if n.cluster == nil {
			n.cluster = c
			scheduling = startBackground(ctx, n.schedule)
		}
		v := &naiveVM{naive: n, settings: s}
		v.server = &http.Server{Addr: s.GetListen().GetCallers(), Handler: v.handler()}
		return v
	})
	assert.NilError(t, err)
	scheduling.stop()
	for _, verdict := range report.Promises {
		t.Logf("%+v", verdict)
	}
	assert.NilError(t, report.Err())
}
