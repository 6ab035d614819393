package ownership

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
)

// Guards against an owner that keeps its shards through a store outage because its list of peers is empty.
func TestNoPromisesWithoutPeers(t *testing.T) {
	request := &siskinv1.PromiseRequest{Shards: []*siskinv1.ShardEpoch{{Shard: "x-0"}}}
	assert.Equal(t, len((&PeerPromiseCollector{}).Ask(context.Background(), request)), 0)
}
