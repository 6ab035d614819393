package schedules

import (
	"context"
	"time"

	"siskinstack.example/siskinstack/platform"
	"siskinstack.example/siskinstack/standin"
)

var storeNode = node{name: "store", kind: kindStore}

// storeView is the store as one VM reaches it.
type storeView struct {
	platformGate
	store *standin.Store
}

type nothing struct{}

func storeCall[A any](ctx context.Context, s *storeView, call func(context.Context) (A, error)) (A, error) {
	return through(standin.WithCaller(ctx, s.self.name), s.platformGate, storeNode, call)
}

func (s *storeView) Get(ctx context.Context, key string) (platform.KeyValue, error) {
	return storeCall(ctx, s, func(ctx context.Context) (platform.KeyValue, error) { return s.store.Get(ctx, key) })
}

func (s *storeView) List(ctx context.Context, prefix string) (platform.Listing, error) {
	return storeCall(ctx, s, func(ctx context.Context) (platform.Listing, error) { return s.store.List(ctx, prefix) })
}

func (s *storeView) Put(ctx context.Context, request platform.PutRequest) (platform.Revision, error) {
	return storeCall(ctx, s, func(ctx context.Context) (platform.Revision, error) { return s.store.Put(ctx, request) })
}

func (s *storeView) Delete(ctx context.Context, key string, expected platform.Revision) error {
	_, err := storeCall(ctx, s, func(ctx context.Context) (nothing, error) {
		return nothing{}, s.store.Delete(ctx, key, expected)
	})
	return err
}

func (s *storeView) GrantLease(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	return storeCall(ctx, s, func(ctx context.Context) (platform.LeaseID, error) { return s.store.GrantLease(ctx, ttl) })
}

func (s *storeView) RenewLease(ctx context.Context, lease platform.LeaseID) error {
	_, err := storeCall(ctx, s, func(ctx context.Context) (nothing, error) {
		return nothing{}, s.store.RenewLease(ctx, lease)
	})
	return err
}

func (s *storeView) RevokeLease(ctx context.Context, lease platform.LeaseID) error {
	_, err := storeCall(ctx, s, func(ctx context.Context) (nothing, error) {
		return nothing{}, s.store.RevokeLease(ctx, lease)
	})
	return err
}

func (s *storeView) Watch(ctx context.Context, request platform.WatchRequest) (platform.WatchResult, error) {
	return storeCall(ctx, s, func(ctx context.Context) (platform.WatchResult, error) { return s.store.Watch(ctx, request) })
}

// workersView is the workers as one VM reaches them.
type workersView struct {
	platformGate
	workers *standin.Workers
	site    *site
}

// authority returns what a worker compares with the highest epoch that it has seen.
func (w *workersView) authority(a platform.Authority) platform.Authority {
	if w.site.broken.ignoreEpochs {
		a.Epoch = 1 << 40
	}
	return a
}

func (w *workersView) Start(ctx context.Context, request platform.StartRequest) error {
	request.Authority = w.authority(request.Authority)
	if late := w.site.lateStart(); late > 0 {
		w.site.noteLateStart(request.Worker)
		w.site.late.Go(func() {
			time.Sleep(late)
			_ = w.workers.Start(context.Background(), request)
		})
		return errAnswerLost
	}
	_, err := through(ctx, w.platformGate, w.site.workerNodes[request.Worker], func(ctx context.Context) (nothing, error) {
		return nothing{}, w.workers.Start(ctx, request)
	})
	return err
}

func (w *workersView) Renew(ctx context.Context, request platform.RenewRequest) (platform.WorkerReport, error) {
	request.Authority = w.authority(request.Authority)
	report, err := through(ctx, w.platformGate, w.site.workerNodes[request.Worker], func(ctx context.Context) (platform.WorkerReport, error) {
		return w.workers.Renew(ctx, request)
	})
	if err != nil && w.site.broken.noHold {
		return platform.WorkerReport{Worker: request.Worker, Room: workerRoom}, nil
	}
	return report, err
}

func (w *workersView) Stop(ctx context.Context, request platform.StopRequest) error {
	request.Authority = w.authority(request.Authority)
	_, err := through(ctx, w.platformGate, w.site.workerNodes[request.Worker], func(ctx context.Context) (nothing, error) {
		return nothing{}, w.workers.Stop(ctx, request)
	})
	return err
}

func (w *workersView) Checkpoint(ctx context.Context, request platform.StopRequest) error {
	request.Authority = w.authority(request.Authority)
	_, err := through(ctx, w.platformGate, w.site.workerNodes[request.Worker], func(ctx context.Context) (nothing, error) {
		return nothing{}, w.workers.Checkpoint(ctx, request)
	})
	return err
}

func (w *workersView) Throttle(ctx context.Context, request platform.ThrottleRequest) error {
	request.Authority = w.authority(request.Authority)
	_, err := through(ctx, w.platformGate, w.site.workerNodes[request.Worker], func(ctx context.Context) (nothing, error) {
		return nothing{}, w.workers.Throttle(ctx, request)
	})
	return err
}
