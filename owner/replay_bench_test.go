package owner

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
)

// endedRecords returns the records of jobs of 100 ended tasks each, with one record for each ended task as in the log.
func endedRecords(tasks int) []*siskinv1.Record {
	const jobTasks = 100
	var records []*siskinv1.Record
	for i := range tasks / jobTasks {
		id := fmt.Sprintf("z-0.job%07d", i)
		accepted := &siskinv1.JobAccepted{Id: id, Team: testTeam, Spec: batch(jobTasks, false), SpecSha256: make([]byte, 32)}
		records = append(records, &siskinv1.Record{Change: &siskinv1.Record_JobAccepted{JobAccepted: accepted}})
		for index := range int32(jobTasks) {
			records = append(records, endedRecord(id, index, 1, siskinv1.TaskState_TASK_STATE_SUCCEEDED, ""))
		}
	}
	return records
}

// BenchmarkReplayOfEndedTasks compares the replay of ended tasks from the log, one record each, with that from a
// snapshot, which holds ranges.
func BenchmarkReplayOfEndedTasks(b *testing.B) {
	for _, tasks := range []int{20_000, 200_000, 600_000} {
		fromLog := endedRecords(tasks)
		before := newState("z-0")
		for _, record := range fromLog {
			before.apply(record)
		}
		for name, records := range map[string][]*siskinv1.Record{"log": fromLog, "snapshot": before.records()} {
			value, err := proto.Marshal(&siskinv1.SnapshotChunk{Records: records})
			assert.NilError(b, err)
			b.Run(fmt.Sprintf("%s/ended=%d", name, tasks), func(b *testing.B) {
				for b.Loop() {
					chunk := &siskinv1.SnapshotChunk{}
					assert.NilError(b, proto.Unmarshal(value, chunk))
					rebuilt := newState("z-0")
					for _, record := range chunk.GetRecords() {
						rebuilt.apply(record)
					}
				}
				b.ReportMetric(float64(len(value)), "B")
				b.ReportMetric(float64(b.Elapsed().Milliseconds())/float64(b.N), "ms")
				b.ReportMetric(0, "ns/op")
			})
		}
		began := time.Now()
		_ = before.records()
		b.Logf("%d ended tasks: records of a snapshot made in %v", tasks, time.Since(began))
	}
}
