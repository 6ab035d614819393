package entry

import (
	"crypto/sha256"
	"math/rand/v2"

	"siskinstack.example/siskinstack/refusal"
	"siskinstack.example/siskinstack/rendezvous"
)

// home returns the home shard and the identifier of a hand-in. With a request key both follow from (team, request key),
// so that a repeated hand-in through another VM finds the first one. Without one, the less loaded of two random shards
// gets it.
func (s *Server) home(team, requestKey string) (shard, id string, err error) {
	shards := s.options.Shards()
	if len(shards) == 0 {
		return "", "", refusal.New(refusal.ShardUnavailable, "no shard is configured")
	}
	if requestKey != "" {
		shard, id = homeOf(shards, team, requestKey)
		return shard, id, nil
	}
	shard = s.lessLoaded(shards[rand.IntN(len(shards))], shards[rand.IntN(len(shards))])
	return shard, shard + "." + newID(), nil
}

func homeOf(shards []string, team, requestKey string) (shard, id string) {
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
