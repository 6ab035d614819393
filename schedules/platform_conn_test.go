package schedules

import (
	"context"
	"time"

	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/standin"
)

var storeNode = node{name: "store", kind: kindStore}

// storeConn is one VM's connection to the store.
type storeConn struct {
	platformConn
	store *standin.Store
}

type empty struct{}

func storeCall[A any](ctx context.Context, s *storeConn, call func(context.Context) (A, error)) (A, error) {
	return callPlatform(standin.WithCaller(ctx, s.self.name), s.platformConn, storeNode, call)
}

func (s *storeConn) Get(ctx context.Context, key string) (infra.KeyValue, error) {
	return storeCall(ctx, s, func(ctx context.Context) (infra.KeyValue, error) { return s.store.Get(ctx, key) })
}

func (s *storeConn) List(ctx context.Context, prefix string) (infra.Listing, error) {
	return storeCall(ctx, s, func(ctx context.Context) (infra.Listing, error) { return s.store.List(ctx, prefix) })
}

func (s *storeConn) Put(ctx context.Context, request infra.PutRequest) (infra.Revision, error) {
	return storeCall(ctx, s, func(ctx context.Context) (infra.Revision, error) { return s.store.Put(ctx, request) })
}

func (s *storeConn) Delete(ctx context.Context, key string, expected infra.Revision) error {
	_, err := storeCall(ctx, s, func(ctx context.Context) (empty, error) {
		return empty{}, s.store.Delete(ctx, key, expected)
	})
	return err
}

func (s *storeConn) GrantLease(ctx context.Context, ttl time.Duration) (infra.LeaseID, error) {
	return storeCall(ctx, s, func(ctx context.Context) (infra.LeaseID, error) { return s.store.GrantLease(ctx, ttl) })
}

func (s *storeConn) RenewLease(ctx context.Context, lease infra.LeaseID) error {
	_, err := storeCall(ctx, s, func(ctx context.Context) (empty, error) {
		return empty{}, s.store.RenewLease(ctx, lease)
	})
	return err
}

func (s *storeConn) RevokeLease(ctx context.Context, lease infra.LeaseID) error {
	_, err := storeCall(ctx, s, func(ctx context.Context) (empty, error) {
		return empty{}, s.store.RevokeLease(ctx, lease)
	})
	return err
}

func (s *storeConn) Watch(ctx context.Context, request infra.WatchRequest) (infra.WatchResult, error) {
	return storeCall(ctx, s, func(ctx context.Context) (infra.WatchResult, error) { return s.store.Watch(ctx, request) })
}

// workersConn is one VM's connection to the workers.
type workersConn struct {
	platformConn
	workers *standin.Workers
	site    *site
}

// authority returns the authority to send to a worker. With ignoreEpochs, its epoch is higher than any real one, so that
// workers reject no call as stale.
func (w *workersConn) authority(a infra.Authority) infra.Authority {
	if w.site.broken.ignoreEpochs {
		a.Epoch = 1 << 40
	}
	return a
}

func (w *workersConn) Start(ctx context.Context, request infra.StartRequest) error {
	request.Authority = w.authority(request.Authority)
	if delay := w.site.currentStartDelay(); delay > 0 {
		w.site.recordDelayedStart(request.Worker)
		w.site.delayedStarts.Go(func() {
			time.Sleep(delay)
			_ = w.workers.Start(context.Background(), request)
		})
		return errAnswerLost
	}
	_, err := callPlatform(ctx, w.platformConn, w.site.workerNodes[request.Worker], func(ctx context.Context) (empty, error) {
		return empty{}, w.workers.Start(ctx, request)
	})
	return err
}

func (w *workersConn) Renew(ctx context.Context, request infra.RenewRequest) (infra.WorkerReport, error) {
	request.Authority = w.authority(request.Authority)
	report, err := callPlatform(ctx, w.platformConn, w.site.workerNodes[request.Worker], func(ctx context.Context) (infra.WorkerReport, error) {
		return w.workers.Renew(ctx, request)
	})
	if err != nil && w.site.broken.noHold {
		return infra.WorkerReport{Worker: request.Worker, Capacity: workerCapacity}, nil
	}
	return report, err
}

func (w *workersConn) Stop(ctx context.Context, request infra.StopRequest) error {
	request.Authority = w.authority(request.Authority)
	_, err := callPlatform(ctx, w.platformConn, w.site.workerNodes[request.Worker], func(ctx context.Context) (empty, error) {
		return empty{}, w.workers.Stop(ctx, request)
	})
	return err
}

func (w *workersConn) Checkpoint(ctx context.Context, request infra.StopRequest) error {
	request.Authority = w.authority(request.Authority)
	_, err := callPlatform(ctx, w.platformConn, w.site.workerNodes[request.Worker], func(ctx context.Context) (empty, error) {
		return empty{}, w.workers.Checkpoint(ctx, request)
	})
	return err
}

func (w *workersConn) Throttle(ctx context.Context, request infra.ThrottleRequest) error {
	request.Authority = w.authority(request.Authority)
	_, err := callPlatform(ctx, w.platformConn, w.site.workerNodes[request.Worker], func(ctx context.Context) (empty, error) {
		return empty{}, w.workers.Throttle(ctx, request)
	})
	return err
}
