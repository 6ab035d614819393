package owner

import (
	"testing"

	"google.golang.org/protobuf/testing/protocmp"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	_ "siskinstack.example/siskinstack/testseed"
)

// TestSnapshotRebuildsState guards against a snapshot that omits jobs, parts, claims or ended tasks.
func TestSnapshotRebuildsState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		original := newState("z-0")
		for _, record := range rapid.SliceOfN(anyRecord(), 0, 40).Draw(t, "records") {
			original.apply(record)
		}
		rebuilt := newState("z-0")
		for _, record := range original.records() {
			rebuilt.apply(record)
		}
		assert.DeepEqual(t, rebuilt.records(), original.records(), protocmp.Transform())
	})
}

// TestIndexSetMatchesMap compares the range arithmetic with a plain set of integers.
func TestIndexSetMatchesMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := indexSet{}
		naive := map[int32]bool{}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			first := rapid.Int32Range(0, 30).Draw(t, "first")
			end := rapid.Int32Range(0, 30).Draw(t, "end")
			add := rapid.Bool().Draw(t, "add")
			if add {
				set = set.add(first, end)
			} else {
				set = set.remove(first, end)
			}
			for i := first; i < end; i++ {
				naive[i] = add
			}
		}
		size := 0
		for i := range int32(30) {
			assert.Equal(t, set.contains(i), naive[i])
			if naive[i] {
				size++
			}
		}
		assert.Equal(t, set.size(), size)
		n := rapid.IntRange(0, 40).Draw(t, "take")
		assert.Equal(t, set.last(n).size(), min(n, size))
	})
}

func anyRecord() *rapid.Generator[*siskinv1.Record] {
	return rapid.Custom(func(t *rapid.T) *siskinv1.Record {
		id := rapid.SampledFrom([]string{"z-0.a", "z-0.b", "y-0.c"}).Draw(t, "job")
		index := rapid.Int32Range(0, 9).Draw(t, "index")
		accepted := &siskinv1.JobAccepted{Id: id, Team: "t", Spec: &siskinv1.WorkSpec{Count: 10}}
		switch rapid.IntRange(0, 6).Draw(t, "kind") {
		case 0:
			if id == "y-0.c" {
				return partRecord(id, "z-0", 1, indexSet{}.add(0, index), accepted)
			}
			return &siskinv1.Record{Change: &siskinv1.Record_JobAccepted{JobAccepted: accepted}}
		case 1:
			return cancelRecord(id)
		case 2:
			return endedRecord(id, index, 0, siskinv1.TaskState_TASK_STATE_SUCCEEDED, "")
		case 3:
			return &siskinv1.Record{Change: &siskinv1.Record_TaskClaimed{TaskClaimed: &siskinv1.TaskClaimed{Job: id, Index: index, Worker: "w", Attempt: 1}}}
		case 4:
			holder := rapid.SampledFrom([]string{"z-0", "x-0"}).Draw(t, "holder")
			return partRecord(id, holder, rapid.Int64Range(1, 9).Draw(t, "version"), indexSet{}.add(index, index+3), nil)
		case 5:
			version := rapid.Int32Range(1, 4).Draw(t, "update version")
			return updatedRecord(&siskinv1.JobUpdated{
				Id: id, Revision: version, Spec: &siskinv1.WorkSpec{Count: 10 + version, UpdateVersion: int64(version)},
			})
		default:
			return workerUsedRecord("w")
		}
	})
}
