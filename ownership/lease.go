package ownership

import (
	"context"
	"errors"
	"time"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/infra"
)

// renewStep renews the lease or, if the store does not respond, extends the rights by promises.
func (m *Manager) renewStep(ctx context.Context) {
	if m.renew(ctx) {
		return
	}
	m.options.Metrics.renewalsFailed.Inc()
	m.askPromises(ctx)
}

// renew renews the store lease and extends every right held, or has a new lease granted. It reports whether that
// succeeded.
func (m *Manager) renew(ctx context.Context) bool {
	ctx, cancel := clock.WithTimeout(ctx, m.options.Clock, renewTimeout)
	defer cancel()
	m.mu.Lock()
	lease := m.lease
	m.mu.Unlock()
	sent := m.options.Clock.Now()
	if lease == 0 {
		return m.grant(ctx, sent)
	}
	err := m.options.Store.RenewLease(ctx, lease)
	if errors.Is(err, infra.ErrLeaseExpired) {
		m.dropAll()
		return m.grant(ctx, m.options.Clock.Now())
	}
	if err != nil {
		return false
	}
	m.renewed(lease, sent)
	return true
}

func (m *Manager) grant(ctx context.Context, sent time.Time) bool {
	lease, err := m.options.Store.GrantLease(ctx, LeaseTTL)
	if err != nil {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lease, m.leaseSent = lease, sent
	return true
}

func (m *Manager) renewed(lease infra.LeaseID, sent time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lease != lease {
		return
	}
	m.leaseSent = sent
	for _, right := range m.held {
		right.extend(m.leaseEnd(sent))
	}
}

// askPromises extends the rights to the shards that all other VMs promise not to acquire.
func (m *Manager) askPromises(ctx context.Context) {
	if m.options.PromiseCollector == nil {
		return
	}
	request := m.promiseRequest()
	if len(request.GetShards()) == 0 {
		return
	}
	ctx, cancel := clock.WithTimeout(ctx, m.options.Clock, promiseTimeout)
	defer cancel()
	sent := m.options.Clock.Now()
	promised := m.options.PromiseCollector.Ask(ctx, request)
	m.extendPromised(request, promised, sent)
}

func (m *Manager) promiseRequest() *siskinv1.PromiseRequest {
	m.mu.Lock()
	defer m.mu.Unlock()
	request := &siskinv1.PromiseRequest{
		Vm: m.options.VM, Incarnation: m.options.Incarnation, DurationMs: PromiseDuration.Milliseconds(),
	}
	for _, shard := range sortedKeys(m.held) {
		request.Shards = append(request.Shards, &siskinv1.ShardEpoch{Shard: shard, Epoch: m.held[shard].Epoch})
	}
	return request
}

// extendPromised extends the rights that were named in the request; a right acquired since has another epoch.
func (m *Manager) extendPromised(request *siskinv1.PromiseRequest, promised []string, sent time.Time) {
	epochs := map[string]int64{}
	for _, shard := range request.GetShards() {
		epochs[shard.GetShard()] = shard.GetEpoch()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, shard := range promised {
		right, ok := m.held[shard]
		if ok && right.Epoch == epochs[shard] && right.extend(m.promiseEnd(sent)) {
			m.options.Metrics.extended.Inc()
		}
	}
}

// Promise handles the request of a peer that cannot reach the store. A promise is refused if this VM owns the shard or
// is acquiring it, or if a store response has shown that the peer is no longer the owner.
func (m *Manager) Promise(request *siskinv1.PromiseRequest) *siskinv1.PromiseResponse {
	m.mu.Lock()
	defer m.mu.Unlock()
	duration := min(time.Duration(request.GetDurationMs())*time.Millisecond, PromiseDuration)
	until := m.options.Clock.Now().Add(duration)
	response := &siskinv1.PromiseResponse{}
	for _, shard := range request.GetShards() {
		if !m.mayPromise(request.GetVm(), shard) {
			m.options.Metrics.promisesRefused.Inc()
			continue
		}
		if until.After(m.promises[shard.GetShard()]) {
			m.promises[shard.GetShard()] = until
		}
		m.options.Metrics.promisesGiven.Inc()
		response.Promised = append(response.Promised, shard.GetShard())
	}
	return response
}

// mayPromise reports whether nothing that this VM knows contradicts a peer's ownership. The caller holds mu.
func (m *Manager) mayPromise(vm string, shard *siskinv1.ShardEpoch) bool {
	if _, own := m.held[shard.GetShard()]; own {
		return false
	}
	if _, acquiring := m.attempts[shard.GetShard()]; acquiring {
		return false
	}
	return m.directory.mayBeOwner(shard.GetShard(), vm, infra.Revision(shard.GetEpoch()))
}
