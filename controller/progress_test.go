package controller

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/standin"
)

const largeJob = "00000000000000b2"

// largeProgress returns a job of five steps and its progress, in which each task has a worker and a checkpoint of the given
// length.
func largeProgress(tasksPerStep, checkpoint int) (*siskinv1.Workflow, *siskinv1.WorkflowProgress) {
	job, occurrence := &siskinv1.Workflow{Id: largeJob}, &siskinv1.OccurrenceProgress{}
	for range 5 {
		saved := &siskinv1.StepProgress{}
		for i := range tasksPerStep {
			saved.Tasks = append(saved.Tasks, &siskinv1.TaskProgress{
				Run: 1, Worker: fmt.Sprintf("i-%010x", i%500), Incarnation: 1_760_000_000_000, PlannedUnixMs: 1_760_000_000_000,
				Checkpoint: fmt.Sprintf("%0*x", checkpoint, i),
			})
		}
		job.Steps = append(job.Steps, &siskinv1.WorkflowStep{Count: int32(tasksPerStep), MilliCpu: 40})
		occurrence.Steps = append(occurrence.Steps, saved)
	}
	return job, &siskinv1.WorkflowProgress{
		Phase: siskinv1.WorkflowPhase_WORKFLOW_PHASE_RUNNING, Started: true, Occurrences: []*siskinv1.OccurrenceProgress{occurrence},
	}
}

// commitLarge stores a job of the given size through a term, with a change of its progress.
func commitLarge(t *testing.T, store *standin.TxnStore, tasksPerStep, checkpoint int) *term {
	t.Helper()
	c := newTermOn(t, store)
	job, progress := largeProgress(tasksPerStep, checkpoint)
	record, err := proto.Marshal(job)
	assert.NilError(t, err)
	_, err = store.Commit(t.Context(), infra.Txn{Writes: []infra.Write{{Key: JobKey(largeJob), Value: record}}})
	assert.NilError(t, err)
	c.mu.Lock()
	c.state.AddJob(job, progress)
	c.state.Cancel(largeJob, 1)
	c.commitChanges(t.Context())
	c.mu.Unlock()
	c.goroutines.Wait()
	return c
}

// recovered returns a further term of the same leadership that has recovered the state.
func recovered(t *testing.T, c *term) *term {
	t.Helper()
	next := newTerm(c.Options, c.leadership)
	_, _, err := next.recover(t.Context())
	assert.NilError(t, err)
	return next
}

// Guards against a job of many tasks that hangs because its progress does not fit into one value of the store.
func TestProgressOfTheLargestJobIsKept(t *testing.T) {
	store := standin.NewTxnStore(clock.Real{})
	c := commitLarge(t, store, 10_000, 256)
	assert.Equal(t, c.state.Job(largeJob).DurablePhase, siskinv1.WorkflowPhase_WORKFLOW_PHASE_CANCELLED)
	next := recovered(t, c)
	assert.Equal(t, next.state.Job(largeJob).Placed(), 50_000)
	assert.Assert(t, proto.Equal(next.state.Job(largeJob).Progress(), c.state.Job(largeJob).Progress()))
	assert.Equal(t, next.parts[largeJob], c.parts[largeJob])
	assert.Equal(t, storedProgress(t, store, largeJob).GetPhase(), siskinv1.WorkflowPhase_WORKFLOW_PHASE_CANCELLED)
}

// Guards against another form of the records of jobs that fit into one value; an earlier version reads them.
func TestProgressThatFitsStaysInOneValue(t *testing.T) {
	store := standin.NewTxnStore(clock.Real{})
	c := commitLarge(t, store, 100, 16)
	listing, err := store.List(t.Context(), progressPrefix)
	assert.NilError(t, err)
	assert.Equal(t, len(listing.Entries), 1)
	data, err := proto.Marshal(c.state.Job(largeJob).Progress())
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(listing.Entries[0].Value, data))
}

// Guards against tasks that start again because parts of the progress are missing, or are of different commits.
func TestIncompletePartsAreNotTakenForProgress(t *testing.T) {
	for name, change := range map[string]infra.Txn{
		"missing": {Removes: []string{progressPartKey(largeJob, 1)}},
		"older":   {Writes: []infra.Write{{Key: progressPartKey(largeJob, 1), Value: make([]byte, infra.MaxValueBytes)}}},
	} {
		store := standin.NewTxnStore(clock.Real{})
		c := commitLarge(t, store, 10_000, 64)
		_, err := store.Commit(t.Context(), change)
		assert.NilError(t, err)
		next := recovered(t, c)
		assert.Assert(t, next.state.Job(largeJob) == nil, name)
		assert.Assert(t, next.skipped[largeJob], name)
	}
}

// Guards against parts that stay in the store when the progress shrinks, or when its job is forgotten.
func TestPartsAreRemovedWithTheirProgress(t *testing.T) {
	store := standin.NewTxnStore(clock.Real{})
	next := recovered(t, commitLarge(t, store, 10_000, 64))
	assert.Assert(t, next.parts[largeJob] > 1)
	jobs, keys := next.expiredJobs(maxJobsPerCommit)
	assert.Equal(t, len(jobs)+len(keys), 0)
	next.mu.Lock()
	// Entries of no worker: all tasks are lost once their leases have ended.
	next.state.ExpireLeases(next.now().Add(time.Hour), 2)
	next.commitChanges(t.Context())
	next.mu.Unlock()
	next.goroutines.Wait()
	assert.Equal(t, next.state.Job(largeJob).Placed(), 0)
	listing, err := store.List(t.Context(), progressPrefix)
	assert.NilError(t, err)
	assert.Equal(t, len(listing.Entries), 1)
	assert.Equal(t, len(next.parts), 0)
	next.parts[largeJob] = 2
	jobs, keys = next.expiredJobs(maxJobsPerCommit)
	assert.DeepEqual(t, jobs, []string{largeJob})
	assert.DeepEqual(t, keys, []string{
		JobKey(largeJob), CancelKey(largeJob), ProgressKey(largeJob), progressPartKey(largeJob, 0), progressPartKey(largeJob, 1),
	})
}

// Guards against a job that hangs for good because the store cannot hold its progress at all.
func TestJobWhoseProgressCannotBeKeptFails(t *testing.T) {
	store := standin.NewTxnStore(clock.Real{})
	c := newTermOn(t, store)
	job, progress := largeProgress(10_000, 1000)
	c.state.AddJob(job, progress)
	c.state.AddJob(&siskinv1.Workflow{Id: "small", Steps: []*siskinv1.WorkflowStep{{Count: 1}}}, nil)
	c.mu.Lock()
	c.state.Cancel("small", 1)
	c.state.ExpireLeases(c.now().Add(time.Hour), 2)
	c.mu.Unlock()
	for range 2 {
		c.withLock(func() { c.commitChanges(t.Context()) })
		c.goroutines.Wait()
	}
	assert.Equal(t, storedProgress(t, store, "small").GetPhase(), siskinv1.WorkflowPhase_WORKFLOW_PHASE_CANCELLED)
	assert.Equal(t, storedProgress(t, store, largeJob).GetPhase(), siskinv1.WorkflowPhase_WORKFLOW_PHASE_FAILED)
	assert.Equal(t, c.state.Job(largeJob).ShownPhase(), siskinv1.WorkflowPhase_WORKFLOW_PHASE_FAILED)
}
