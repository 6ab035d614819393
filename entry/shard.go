package entry

import (
	"crypto/sha256"
	"math/rand/v2"

	"siskinstack.example/siskinstack/refusal"
	"siskinstack.example/siskinstack/rendezvous"
)

// homeShard returns the home shard and the identifier of a submission. With a request key both are derived from (team,
// request key), so that a repeated submission through another VM finds the first one. Without one, the less loaded of
// two random shards is chosen and the identifier is random.
func (s *Server) homeShard(team, requestKey string) (shard, id string, err error) {
	shards := s.options.Shards()
	if len(shards) == 0 {
		return "", "", refusal.New(refusal.ShardUnavailable, "no shard is configured")
	}
	if requestKey != "" {
		shard, id = homeShardByKey(shards, team, requestKey)
		return shard, id, nil
	}
	shard = s.lessLoaded(shards[rand.IntN(len(shards))], shards[rand.IntN(len(shards))])
	return shard, shard + "." + newID(), nil
}

func homeShardByKey(shards []string, team, requestKey string) (shard, id string) {
	key := rendezvous.Key(team, requestKey)
	shard = rendezvous.Pick(key, shards)
	hash := sha256.Sum256([]byte(key))
	return shard, shard + "." + encodeID(hash[:])
}

func (s *Server) lessLoaded(a, b string) string {
	if s.options.ShardLoad != nil && s.options.ShardLoad(b) < s.options.ShardLoad(a) {
		return b
	}
	return a
}
