// Package demo runs a whole site in one process on loopback: the stand-in platform and six entry VMs in three
// availability zones.
package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/daemon"
	"siskinstack.example/siskinstack/platform"
	"siskinstack.example/siskinstack/resource"
	"siskinstack.example/siskinstack/standin"
	"siskinstack.example/siskinstack/standin/server"
)

const (
	zones          = 3
	entryVMs       = 6
	workers        = 50
	workersPerRack = 8
	workerMilliCPU = 64_000
	workerMemory   = 128 << 30
	vmListLag      = 2 * time.Second
)

// Run starts the site, hands in one batch and waits for its end.
func Run(ctx context.Context, out io.Writer) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	fleet := fleet()
	real := clock.Real{}
	machines := standin.NewWorkers(real, fleet, func(platform.StartRequest) standin.TaskPlan {
		return standin.TaskPlan{RunFor: 200 * time.Millisecond}
	})
	handler := server.New(standin.NewStore(real), standin.NewVMList(real, vmListLag, fleet), machines)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	platformServer := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	defer func() { _ = platformServer.Close() }()
	go func() { _ = platformServer.Serve(listener) }()
	settings, err := settings("http://" + listener.Addr().String())
	if err != nil {
		return err
	}
	var daemons sync.WaitGroup
	defer daemons.Wait()
	defer cancel()
	for _, s := range settings {
		daemons.Go(func() { _ = daemon.New(s, logr.Discard()).Run(ctx) })
	}
	id, err := submit(ctx, settings[0].GetListen().GetCallers())
	if err != nil {
		return err
	}
	return waitDone(ctx, out, settings[entryVMs-1].GetListen().GetCallers(), id)
}

func fleet() []platform.VM {
	vms := make([]platform.VM, workers)
	for i := range vms {
		vms[i] = platform.VM{
			Name: fmt.Sprintf("worker-%d", i), Role: platform.RoleWorker,
			Zone: fmt.Sprintf("taichung-%d", 1+i%zones), Rack: fmt.Sprintf("rack-%d", i/workersPerRack),
			Room: resource.Vector{MilliCPU: workerMilliCPU, MemoryBytes: workerMemory},
		}
	}
	return vms
}

func settings(url string) ([]*siskinv1.Settings, error) {
	var peers []*siskinv1.Peer
	all := make([]*siskinv1.Settings, entryVMs)
	for i := range all {
		callers, err := freeAddress()
		if err != nil {
			return nil, err
		}
		internal, err := freeAddress()
		if err != nil {
			return nil, err
		}
		vm := fmt.Sprintf("entry-%d", i)
		zone := fmt.Sprintf("taichung-%d", 1+i%zones)
		peers = append(peers, &siskinv1.Peer{Vm: vm, Zone: zone, Address: internal})
		all[i] = &siskinv1.Settings{
			Vm: vm, Zone: zone, Listen: &siskinv1.Listen{Callers: callers, Peers: internal},
			Platform: &siskinv1.Platform{Adapter: "http", Url: url},
		}
	}
	for _, s := range all {
		s.Peers = peers
	}
	return all, nil
}

func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", eris.Wrap(err, "find a free port")
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

const pollInterval = 100 * time.Millisecond

// submit hands a batch in, again while no shard has an owner.
func submit(ctx context.Context, address string) (string, error) {
	spec := `{"name":"stitch","kind":"WORK_KIND_BATCH","queue":"lab","count":40,"each":{"milli_cpu":4000,"memory_bytes":1073741824}}`
	for ctx.Err() == nil {
		var answer struct {
			ID     string `json:"id"`
			NotRun bool   `json:"not_run"`
		}
		status, err := call(ctx, http.MethodPost, "http://"+address+"/v1/work", []byte(spec), &answer)
		if err == nil && status == http.StatusAccepted {
			return answer.ID, nil
		}
		if err == nil && !answer.NotRun {
			return "", eris.Errorf("hand-in answered %d", status)
		}
		time.Sleep(pollInterval)
	}
	return "", ctx.Err()
}

func waitDone(ctx context.Context, out io.Writer, address, id string) error {
	for ctx.Err() == nil {
		var status struct {
			Queued    int `json:"queued"`
			Running   int `json:"running"`
			Succeeded int `json:"succeeded"`
		}
		if _, err := call(ctx, http.MethodGet, "http://"+address+"/v1/work/"+id, nil, &status); err != nil {
			return err
		}
		if _, err := fmt.Fprintf(out, "%s queued %d running %d succeeded %d\n", id, status.Queued, status.Running, status.Succeeded); err != nil {
			return err
		}
		if status.Queued+status.Running == 0 && status.Succeeded > 0 {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return ctx.Err()
}

func call(ctx context.Context, method, url string, body []byte, answer any) (int, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode, json.NewDecoder(response.Body).Decode(answer)
}
