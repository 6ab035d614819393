package scheduler

import "siskinstack.example/siskinstack/resource"

// SetIndexes replaces the open tasks that this shard holds of a job.
func (c *Cell) SetIndexes(id string, indexes []int32) ([]Stop, error) {
	job, ok := c.jobs[id]
	if !ok {
		return nil, ErrUnknownJob
	}
	wanted := map[int32]bool{}
	for _, index := range indexes {
		wanted[index] = true
		if _, known := job.tasks[index]; !known {
			job.tasks[index] = &taskState{id: TaskID{id, index}, job: job}
			job.counts.Queued++
		}
	}
	var stops []Stop
	for index, task := range job.tasks {
		switch {
		case wanted[index] || task.done:
		case task.worker != nil:
			stops = append(stops, Stop{Task: task.id, Attempt: task.attempt, Worker: task.worker.Name, Reason: StopReplaced})
		default:
			job.counts.Queued--
			delete(job.tasks, index)
		}
	}
	job.Indexes = indexes
	return stops, nil
}

// Recheck compares a start with the newest state.
func (c *Cell) Recheck(start Start) error {
	task, err := c.task(start.Task)
	if err != nil {
		return err
	}
	if task.worker == nil || task.attempt != start.Attempt || task.job.cancelled {
		return ErrUnknownJob
	}
	return nil
}

// Usage takes the lagging usage of a running task.
func (c *Cell) Usage(TaskID, resource.Vector) {}

// Final returns the outcome of a task that will not start again.
func (c *Cell) Final(id TaskID) (Outcome, bool) {
	task, err := c.task(id)
	if err != nil || !task.done {
		return 0, false
	}
	return task.outcome, true
}

// QueuedByTeam returns what each team has waiting.
func (c *Cell) QueuedByTeam() map[string]resource.Vector {
	queued := map[string]resource.Vector{}
	for _, job := range c.jobs {
		queued[job.Team] = queued[job.Team].Add(job.Each.Scale(int64(job.counts.Queued)))
	}
	return queued
}

// SetElsewhere sets what a team has running in other shards.
func (c *Cell) SetElsewhere(string, resource.Vector) {}

// SetFleetRoom sets the room of all workers of the fleet.
func (c *Cell) SetFleetRoom(resource.Vector) {}

// AtRisk reports whether a job is not likely to be ready in time.
func (c *Cell) AtRisk(string, Time) bool { return false }
