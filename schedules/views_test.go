package schedules

import (
	"context"
	"time"

	"siskinstack.example/siskinstack/infra"
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

func (s *storeView) Get(ctx context.Context, key string) (infra.KeyValue, error) {
	return storeCall(ctx, s, func(ctx context.Context) (infra.KeyValue, error) { return s.store.Get(ctx, key) })
}

func (s *storeView) List(ctx context.Context, prefix string) (infra.Listing, error) {
	return storeCall(ctx, s, func(ctx context.Context) (infra.Listing, error) { return s.store.List(ctx, prefix) })
}

func (s *storeView) Put(ctx context.Context, request infra.PutRequest) (infra.Revision, error) {
	return storeCall(ctx, s, func(ctx context.Context) (infra.Revision, error) { return s.store.Put(ctx, request) })
}

func (s *storeView) Delete(ctx context.Context, key string, expected infra.Revision) error {
	_, err := storeCall(ctx, s, func(ctx context.Context) (nothing, error) {
		return nothing{}, s.store.Delete(ctx, key, expected)
	})
	return err
}

func (s *storeView) GrantLease(ctx context.Context, ttl time.Duration) (infra.LeaseID, error) {
	return storeCall(ctx, s, func(ctx context.Context) (infra.LeaseID, error) { return s.store.GrantLease(ctx, ttl) })
}

func (s *storeView) RenewLease(ctx context.Context, lease infra.LeaseID) error {
	_, err := storeCall(ctx, s, func(ctx context.Context) (nothing, error) {
		return nothing{}, s.store.RenewLease(ctx, lease)
	})
	return err
}

func (s *storeView) RevokeLease(ctx context.Context, lease infra.LeaseID) error {
	_, err := storeCall(ctx, s, func(ctx context.Context) (nothing, error) {
		return nothing{}, s.store.RevokeLease(ctx, lease)
	})
	return err
}

func (s *storeView) Watch(ctx context.Context, request infra.WatchRequest) (infra.WatchResult, error) {
	return storeCall(ctx, s, func(ctx context.Context) (infra.WatchResult, error) { return s.store.Watch(ctx, request) })
}

// workersView is the workers as one VM reaches them.
type workersView struct {
	platformGate
	workers *standin.Workers
	site    *site
}

// authority returns what a worker compares with the highest epoch that it has seen.
func (w *workersView) authority(a infra.Authority) infra.Authority {
	if w.site.broken.ignoreEpochs {
		a.Epoch = 1 << 40
	}
	return a
}

func (w *workersView) Start(ctx context.Context, request infra.StartRequest) error {
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

func (w *workersView) Renew(ctx context.Context, request infra.RenewRequest) (infra.WorkerReport, error) {
	request.Authority = w.authority(request.Authority)
	report, err := through(ctx, w.platformGate, w.site.workerNodes[request.Worker], func(ctx context.Context) (infra.WorkerReport, error) {
		return w.workers.Renew(ctx, request)
	})
	if err != nil && w.site.broken.noHold {
		return infra.WorkerReport{Worker: request.Worker, Capacity: workerRoom}, nil
	}
	return report, err
}

func (w *workersView) Stop(ctx context.Context, request infra.StopRequest) error {
	request.Authority = w.authority(request.Authority)
	_, err := through(ctx, w.platformGate, w.site.workerNodes[request.Worker], func(ctx context.Context) (nothing, error) {
		return nothing{}, w.workers.Stop(ctx, request)
	})
	return err
}

func (w *workersView) Checkpoint(ctx context.Context, request infra.StopRequest) error {
	request.Authority = w.authority(request.Authority)
	_, err := through(ctx, w.platformGate, w.site.workerNodes[request.Worker], func(ctx context.Context) (nothing, error) {
		return nothing{}, w.workers.Checkpoint(ctx, request)
	})
	return err
}

func (w *workersView) Throttle(ctx context.Context, request infra.ThrottleRequest) error {
	request.Authority = w.authority(request.Authority)
	_, err := through(ctx, w.platformGate, w.site.workerNodes[request.Worker], func(ctx context.Context) (nothing, error) {
		return nothing{}, w.workers.Throttle(ctx, request)
	})
	return err
}
