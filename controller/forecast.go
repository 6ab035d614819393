package controller

import (
	"context"
	"errors"
	"math"
	"time"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/infra"
)

// forecastInterval is the least time between two forecasts. It keeps their cost below that of the plans, of which there are
// two to five in that time.
const forecastInterval = 100 * time.Millisecond

const (
	// maxTombstonesPerCommit leaves place for the condition on the leadership: each tombstone takes a condition and a removal.
	maxTombstonesPerCommit = (infra.MaxTxnEntries - 1) / 2
	// maxTombstoneCommits bounds the commits for tombstones in each interval. Refused jobs leave up to some hundred a second.
	maxTombstoneCommits = 20
)

// waitForecast is the newest forecast of a term. The term's mu guards it; the message is not changed after it was made.
type waitForecast struct {
	message *siskinv1.Forecast
	at      time.Time
}

// updateForecast computes the forecast anew unless that was done a moment ago. The caller holds mu.
func (t *term) updateForecast(now time.Time) {
	if !t.Bounds.Forecast || t.forecast.message != nil && now.Sub(t.forecast.at) < forecastInterval {
		return
	}
	message := &siskinv1.Forecast{Epoch: t.leadership.Epoch, Sequence: t.forecast.message.GetSequence() + 1}
	for _, w := range t.state.Forecast(now, unixMs()) {
		message.Queues = append(message.Queues, &siskinv1.QueueForecast{
			Queue: w.Queue, BeyondRate: w.Excess, LowerMs: w.Lower.Milliseconds(), UpperMs: w.Upper.Milliseconds(),
		})
	}
	for _, team := range t.state.ForecastTeams(unixMs()) {
		message.Teams = append(message.Teams, &siskinv1.TeamForecast{
			// Rounded down, so that no team appears to be further beyond its rate than it is.
			Team: team.Team, WithinRateInMs: int64(math.Floor(team.WithinRateIn.Seconds() * 1000)), AboveShare: team.AboveShare, Rate: team.Rate,
		})
	}
	t.forecast = waitForecast{message: message, at: now}
	for _, o := range t.state.TakeForecastOutcomes() {
		t.Metrics.forecastOutcome(o)
	}
}

// Forecast returns the newest forecast, or nil if this machine is not the controller or does not forecast.
func (c *Controller) Forecast() *siskinv1.Forecast {
	t := c.current()
	if t == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.forecast.message
	if f == nil {
		return nil
	}
	// A started millisecond counts: a forecast never appears younger than it is.
	age := t.now().Sub(t.forecast.at).Milliseconds() + 1
	return &siskinv1.Forecast{Epoch: f.GetEpoch(), Sequence: f.GetSequence(), AgeMs: age, Queues: f.GetQueues(), Teams: f.GetTeams()}
}

// expireTombstones periodically deletes old tombstones if jobs are refused because of forecasts. Each refusal leaves one, so there
// are more of them than cancellations leave. A tombstone that was replaced meanwhile, because its job was refused again, is
// kept: a delayed deletion could otherwise remove the one that a later refusal depends on.
func (t *term) expireTombstones(ctx context.Context) {
	for t.Clock.Sleep(ctx, expireInterval) == nil {
		for range maxTombstoneCommits {
			if !t.leadership.Valid() || !t.deleteTombstones(ctx) {
				break
			}
		}
	}
}

// deleteTombstones deletes some old tombstones. It reports whether others may be left.
func (t *term) deleteTombstones(ctx context.Context) bool {
	txn := infra.Txn{Conditions: []infra.Condition{t.leadership.Condition}}
	t.mu.Lock()
	txn.Removes = t.expiredTombstones(t.now(), maxTombstonesPerCommit)
	for _, key := range txn.Removes {
		txn.Conditions = append(txn.Conditions, infra.Condition{Key: key, Revision: t.tombstones[key].revision})
	}
	t.mu.Unlock()
	if len(txn.Removes) == 0 {
		return false
	}
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err := t.Store.Commit(call, txn)
	var failed *infra.ConditionError
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case errors.As(err, &failed):
		t.correctTombstones(txn.Removes, failed.Current)
	case err != nil:
		t.log.V(1).Info("failed to delete old tombstones", "keys", len(txn.Removes), "reason", err.Error())
		return false
	default:
		for i, key := range txn.Removes {
			if t.tombstones[key].revision == txn.Conditions[i+1].Revision {
				delete(t.tombstones, key)
			}
		}
	}
	return len(txn.Removes) == maxTombstonesPerCommit
}

// correctTombstones notes which of some tombstones the store holds. The caller holds mu.
func (t *term) correctTombstones(keys []string, current []infra.KeyValue) {
	held := map[string]infra.KeyValue{}
	for _, entry := range current {
		held[entry.Key] = entry
	}
	for _, key := range keys {
		entry, exists := held[key]
		t.applyTombstone(infra.Event{KeyValue: infra.KeyValue{Key: key, Revision: entry.Revision}, Deleted: !exists})
	}
}
