package capacity_test

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/shardlog"
	"siskinstack.example/siskinstack/standin"
	"siskinstack.example/siskinstack/standin/httpclient"
	"siskinstack.example/siskinstack/storeclient"
)

func jobID(i int) string { return fmt.Sprintf("%s.%064d", benchShard, i) }

func acceptedRecord(i, tasks int) *siskinv1.Record {
	return &siskinv1.Record{Change: &siskinv1.Record_JobAccepted{JobAccepted: &siskinv1.JobAccepted{
		Id: jobID(i), Team: teamName(i % benchTeams), AcceptedUnixMs: 1_700_000_000_000, SpecSha256: bytes.Repeat([]byte{7}, 32),
		RequestKey: fmt.Sprintf("%032d", i),
		Spec: &siskinv1.WorkSpec{
			Name: "stitch", Kind: siskinv1.WorkKind_WORK_KIND_BATCH, Queue: teamName(i % benchTeams), Count: int32(tasks),
			Command: []string{"stitch", "--slide", "s3-000123456", "--level", "full"}, Urgency: siskinv1.Urgency_URGENCY_NORMAL,
			Each: &siskinv1.Resources{MilliCpu: 8000, MemoryBytes: 15 * gib},
		},
	}}}
}

func endRecord(job, index int) *siskinv1.Record {
	return &siskinv1.Record{Change: &siskinv1.Record_TaskEnded{TaskEnded: &siskinv1.TaskEnded{
		Job: jobID(job), Index: int32(index), State: siskinv1.TaskState_TASK_STATE_SUCCEEDED, Attempt: 1,
	}}}
}

// recordsOf returns the records of a shard: the given number of tasks in jobs of tasksPerJob tasks, the ends of the
// first ended tasks of each job, and the use of each worker.
func recordsOf(tasks, ended, workers int) []*siskinv1.Record {
	var records []*siskinv1.Record
	for job := range tasks / tasksPerJob {
		records = append(records, acceptedRecord(job, tasksPerJob))
		for index := range ended {
			records = append(records, endRecord(job, index))
		}
	}
	for _, vm := range workersOf(benchZone, workers) {
		records = append(records, &siskinv1.Record{Change: &siskinv1.Record_WorkerUsed{WorkerUsed: &siskinv1.WorkerUsed{Worker: vm.Name}}})
	}
	return records
}

// appendInEntries writes records in entries of the size that a busy shard writes.
func appendInEntries(b *testing.B, log *shardlog.Log, records []*siskinv1.Record) {
	const perEntry = 2000
	for first := 0; first < len(records); first += perEntry {
		assert.NilError(b, log.Append(b.Context(), records[first:min(first+perEntry, len(records))]...))
	}
}

// storedBytes returns the total size and the number of the values with a prefix.
func storedBytes(b *testing.B, store infra.Store, prefix string) (size, values float64) {
	listing, err := store.List(context.Background(), prefix)
	assert.NilError(b, err)
	for _, kv := range listing.Entries {
		size += float64(len(kv.Value))
	}
	return size, float64(len(listing.Entries))
}

// BenchmarkLog measures the log and the snapshot of a shard by number of tasks, half of which have ended.
func BenchmarkLog(b *testing.B) {
	for _, tasks := range []int{1000, 10_000} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			for b.Loop() {
				measureLog(b, tasks)
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

func measureLog(b *testing.B, tasks int) {
	store := standin.NewStore(clock.Real{})
	records := recordsOf(tasks, tasksPerJob/2, 0)
	options := shardlog.Options{
		Store: store, Clock: clock.Real{}, Shard: benchShard, Writer: "vm@1", Owner: "vm", Epoch: 1,
		Apply: func(*siskinv1.Record) {}, Snapshot: func() []*siskinv1.Record { return records },
		SnapshotEntries: 1 << 20, SnapshotBytes: 1 << 40,
	}
	log, err := shardlog.Open(b.Context(), options)
	assert.NilError(b, err)
	appendInEntries(b, log, records)
	size, entries := storedBytes(b, store, shardlog.Prefix(benchShard))
	b.ReportMetric(size/float64(len(records)), "log-B/record")
	b.ReportMetric(entries, "log-entries")
	log.Close()
	options.SnapshotEntries, options.Epoch, options.Writer = 1, 2, "vm@2"
	log, err = shardlog.Open(b.Context(), options)
	assert.NilError(b, err)
	before := store.Counts().Writes
	assert.NilError(b, log.Append(b.Context(), acceptedRecord(0, 1)))
	for {
		if _, err := store.Get(b.Context(), shardlog.HeadKey(benchShard)); err == nil {
			break
		}
		time.Sleep(time.Millisecond)
	}
	b.ReportMetric(float64(store.Counts().Writes-before), "snapshot-writes")
	log.Close()
	size, chunks := storedBytes(b, store, shardlog.SnapshotPrefix(benchShard))
	b.ReportMetric(size/float64(tasks), "snapshot-B/task")
	b.ReportMetric(size, "snapshot-B")
	b.ReportMetric(chunks, "snapshot-chunks")
}

// BenchmarkTakeover measures owner.Open over the HTTP adapter by the shard's number of tasks, and the time until every
// worker has been queried.
func BenchmarkTakeover(b *testing.B) {
	for _, tasks := range []int{1000, 10_000} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			for b.Loop() {
				measureTakeover(b, tasks, tasksPerJob/2, tasks/7)
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkRetention measures owner.Open by the number of ended tasks that the shard keeps for a day. Store calls have
// the same deadline as in the daemon.
func BenchmarkRetention(b *testing.B) {
	for _, tasks := range []int{20_000, 200_000, 600_000} {
		b.Run(fmt.Sprintf("ended=%d", tasks), func(b *testing.B) {
			for b.Loop() {
				measureTakeover(b, tasks, tasksPerJob, 100)
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

func measureTakeover(b *testing.B, tasks, ended, workers int) {
	s := &bench{b: b, fleet: newFleetStub(workers)}
	client := httpclient.NewWithDialer(startStandin(b, workers), s.traffic.dial)
	defer client.Close()
	log, err := shardlog.Open(b.Context(), shardlog.Options{
		Store: client, Clock: clock.Real{}, Shard: benchShard, Writer: "vm@1", Owner: "vm", Epoch: 1, Apply: func(*siskinv1.Record) {},
	})
	assert.NilError(b, err)
	appendInEntries(b, log, recordsOf(tasks, ended, workers))
	log.Close()
	s.workers = &countedWorkers{Workers: client}
	empty := heap()
	store := storeclient.New(client, storeclient.Options{})
	defer store.Close()
	opened := s.measure(func() { s.open(store.For(storeclient.KindLog), 2) })
	b.ReportMetric(float64(opened.elapsed.Milliseconds()), "open-ms")
	b.ReportMetric(float64(opened.processor.Milliseconds()), "open-processor-ms")
	b.ReportMetric(opened.in, "open-in-B")
	b.ReportMetric((heap()-empty)/float64(tasks), "heap-B/task")
	b.ReportMetric(float64(s.longestLockWait().Milliseconds()), "longest-lock-ms")
	size, chunks := storedBytes(b, client, shardlog.SnapshotPrefix(benchShard))
	b.ReportMetric(size, "snapshot-B")
	b.ReportMetric(chunks, "snapshot-chunks")
	ctx, cancel := context.WithCancel(b.Context())
	done := make(chan struct{})
	asked := s.measure(func() {
		go func() {
			defer close(done)
			s.owner.Run(ctx)
		}()
		for s.workers.renewals.Load() < int64(workers) {
			time.Sleep(time.Millisecond)
		}
	})
	b.ReportMetric(float64(asked.elapsed.Milliseconds()), "ask-all-ms")
	b.ReportMetric(float64(asked.processor.Milliseconds()), "ask-all-processor-ms")
	cancel()
	<-done
}

// snapshotWait is long enough for the first snapshot of the largest measured shard.
const snapshotWait = 3 * time.Second

// longestLockWait submits a job, after which a snapshot is due because the log is large, and returns the longest wait of
// a reader of the owner's state meanwhile.
func (s *bench) longestLockWait() time.Duration {
	s.jobs = 1_000_000 // beyond the jobs of the log
	submitted := make(chan struct{})
	// Submit acquires the lock again after the commit, so the reader must not wait for Submit.
	go func() {
		defer close(submitted)
		s.submit(1, "serve", "-")
	}()
	defer func() { <-submitted }()
	var longest time.Duration
	for began := time.Now(); time.Since(began) < snapshotWait; time.Sleep(time.Millisecond) {
		asked := time.Now()
		_, _ = s.owner.Load()
		longest = max(longest, time.Since(asked))
	}
	return longest
}

// BenchmarkVMListCompressed measures the size of the VM list under HTTP gzip compression.
func BenchmarkVMListCompressed(b *testing.B) {
	for _, workers := range []int{1400, 9800} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			text, err := json.Marshal(infra.VMs{VMs: workersOf(benchZone, workers)})
			assert.NilError(b, err)
			var out bytes.Buffer
			for b.Loop() {
				out.Reset()
				zip := gzip.NewWriter(&out)
				_, _ = strings.NewReader(string(text)).WriteTo(zip)
				assert.NilError(b, zip.Close())
			}
			b.ReportMetric(float64(len(text)), "plain-B")
			b.ReportMetric(float64(out.Len()), "gzip-B")
		})
	}
}
