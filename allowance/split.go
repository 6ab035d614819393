// Package allowance splits each team's ceiling into allowances of shards, so that a team stays under its ceiling
// although shards decide independently. The split of a team is one store value that changes by compare-and-swap. Only the
// owner of a shard changes the grant of that shard.
package allowance

import (
	"maps"
	"math/bits"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/resource"
)

// format is the version of the store value that this program writes. Readers reject newer versions.
const format = 1

// ErrUnreadable means that a split is corrupt or of a newer format. The stored value is left unchanged.
var ErrUnreadable = eris.New("allowance split cannot be read")

// Split is the division of one team's ceiling. It is a value: its methods return changed copies.
type Split struct {
	Version int64 // bundle version of Ceiling
	Ceiling resource.Vector
	Granted map[string]resource.Vector
	// Targets bound the shards while the sum of grants exceeds a lowered ceiling. Their sum is at most the ceiling.
	Targets map[string]resource.Vector
}

// Initial returns a split that grants half of a ceiling in equal parts to the shards.
func Initial(version int64, ceiling resource.Vector, shards []string) Split {
	split := Split{Version: version, Ceiling: ceiling, Granted: map[string]resource.Vector{}}
	parts := int64(2 * max(1, len(shards)))
	for _, shard := range shards {
		split.Granted[shard] = resource.Vector{
			MilliCPU:     ceiling.MilliCPU / parts,
			MemoryBytes:  ceiling.MemoryBytes / parts,
			Accelerators: ceiling.Accelerators / parts,
		}
	}
	return split
}

func (s Split) clone() Split {
	s.Granted = maps.Clone(s.Granted)
	s.Targets = maps.Clone(s.Targets)
	if s.Granted == nil {
		s.Granted = map[string]resource.Vector{}
	}
	return s
}

// Sum returns the sum of grants.
func (s Split) Sum() resource.Vector { return sum(s.Granted) }

func sum(amounts map[string]resource.Vector) resource.Vector {
	var total resource.Vector
	for _, amount := range amounts {
		total = total.Add(amount)
	}
	return total
}

// Remainder returns the part of the ceiling that is not granted, at least zero in each dimension.
func (s Split) Remainder() resource.Vector {
	return s.Ceiling.Sub(s.Sum()).Max(resource.Vector{})
}

// Limit returns what a shard may run.
func (s Split) Limit(shard string) resource.Vector {
	if s.Targets == nil {
		return s.Granted[shard]
	}
	return s.Granted[shard].Min(s.Targets[shard])
}

// Raise grants a shard as much of the wanted addition as the remainder has.
func (s Split) Raise(shard string, addition resource.Vector) Split {
	next := s.clone()
	next.Granted[shard] = s.Granted[shard].Add(addition.Min(s.Remainder()).Max(resource.Vector{}))
	return next
}

// Lower reduces the grant of a shard to an amount; it never raises it.
func (s Split) Lower(shard string, to resource.Vector) Split {
	next := s.clone()
	next.Granted[shard] = s.Granted[shard].Min(to).Max(resource.Vector{})
	return next.clearTargets()
}

// WithCeiling returns the split with a newer ceiling; one that is not newer changes nothing. When the grants exceed a
// lowered ceiling, it sets targets in proportion to what each shard may run now. Targets never grow while they exist, so
// shards that still act on an older split do not exceed the ceiling together with those that act on this one.
func (s Split) WithCeiling(version int64, ceiling resource.Vector) Split {
	if version <= s.Version {
		return s
	}
	next := s.clone()
	next.Version, next.Ceiling = version, ceiling
	limits := map[string]resource.Vector{}
	for shard := range s.Granted {
		limits[shard] = s.Limit(shard)
	}
	total := sum(limits)
	next.Targets = map[string]resource.Vector{}
	for shard, limit := range limits {
		next.Targets[shard] = scale(limit, ceiling, total)
	}
	return next.clearTargets()
}

// clearTargets removes the targets when the ceiling covers the grants.
func (s Split) clearTargets() Split {
	if s.Sum().Fits(s.Ceiling) {
		s.Targets = nil
	}
	return s
}

// scale returns amount x ceiling / total, rounded down, in each dimension where total exceeds ceiling.
func scale(amount, ceiling, total resource.Vector) resource.Vector {
	return resource.Vector{
		MilliCPU:     scaleOne(amount.MilliCPU, ceiling.MilliCPU, total.MilliCPU),
		MemoryBytes:  scaleOne(amount.MemoryBytes, ceiling.MemoryBytes, total.MemoryBytes),
		Accelerators: scaleOne(amount.Accelerators, ceiling.Accelerators, total.Accelerators),
	}
}

func scaleOne(amount, ceiling, total int64) int64 {
	if total <= ceiling {
		return amount
	}
	if amount <= 0 || ceiling <= 0 {
		return 0
	}
	// The product of two byte counts can exceed 64 bits. The quotient cannot, because amount is at most total.
	high, low := bits.Mul64(uint64(amount), uint64(ceiling))
	quotient, _ := bits.Div64(high, low, uint64(total))
	return int64(quotient)
}

// Encode returns the store value of the split.
func (s Split) Encode(team, writer string) ([]byte, error) {
	message := &siskinv1.AllowanceSplit{
		Team: team, BundleVersion: s.Version, Ceiling: s.Ceiling.Proto(), Writer: writer, Format: format,
		Granted: toProto(s.Granted), Targets: toProto(s.Targets),
	}
	value, err := proto.Marshal(message)
	return value, eris.Wrap(err, "encode allowance split")
}

// Decode reads a store value.
func Decode(team string, value []byte) (Split, error) {
	message := &siskinv1.AllowanceSplit{}
	if err := proto.Unmarshal(value, message); err != nil {
		return Split{}, eris.Wrap(ErrUnreadable, err.Error())
	}
	if message.GetFormat() > format || message.GetTeam() != team {
		return Split{}, eris.Wrapf(ErrUnreadable, "format %d of team %q", message.GetFormat(), message.GetTeam())
	}
	split := Split{
		Version: message.GetBundleVersion(), Ceiling: resource.FromProto(message.GetCeiling()),
		Granted: fromProto(message.GetGranted()),
	}
	if len(message.GetTargets()) > 0 {
		split.Targets = fromProto(message.GetTargets())
	}
	return split, nil
}

func toProto(amounts map[string]resource.Vector) map[string]*siskinv1.Resources {
	messages := map[string]*siskinv1.Resources{}
	for shard, amount := range amounts {
		messages[shard] = amount.Proto()
	}
	return messages
}

func fromProto(messages map[string]*siskinv1.Resources) map[string]resource.Vector {
	amounts := map[string]resource.Vector{}
	for shard, message := range messages {
		amounts[shard] = resource.FromProto(message)
	}
	return amounts
}
