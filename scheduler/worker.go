package scheduler

import "siskinstack.example/siskinstack/resource"

// worker is a VM that runs tasks. A removed worker stays until its last task has ended.
type worker struct {
	Worker
	id      int32
	rack    int32
	present bool
	used    resource.Vector // allocations of tasks
	tasks   []taskRef
	// reserved is the job that the worker is reserved for, or nil.
	reserved *job
	health   health
	// overuse holds the tasks that use more than their allocation or are throttled. The next pass checks workers with
	// overuseMarked.
	overuse       map[taskRef]*overuse
	overuseMarked bool
}

// freeID is an identifier of a removed worker. It is not reused before from, because tasks may avoid that worker until then.
type freeID struct {
	id   int32
	from Time
}

// taskRef refers to a task by its slot in its job.
type taskRef struct {
	job  *job
	slot int32
}

func (r taskRef) task() *task { return &r.job.tasks[r.slot] }

// allocation returns the resources that a running task holds on its worker.
func (r taskRef) allocation() resource.Vector { return r.job.allocations[r.task().allocationIndex] }

// SetWorker adds or changes a worker.
func (c *Cell) SetWorker(w Worker) {
	id, ok := c.workerIDs[w.Name]
	if !ok {
		id = c.newWorker(w)
	}
	state := c.workers[id]
	if state.present && state.Worker == w {
		return
	}
	if state.present {
		c.subtractCapacity(state)
	}
	c.setRack(state, w.Rack)
	if w.Leaving {
		c.dropReservation(state.reserved)
	}
	if w.Leaving && (!state.present || !state.Leaving) {
		c.leaving = append(c.leaving, state)
	}
	state.Worker = w
	state.present = true
	c.total = c.total.Add(w.Capacity)
	c.used = c.used.Add(state.used)
	if !w.Leaving {
		c.capacityCounts[w.Capacity]++
	}
	c.topologyVersion++
	c.capacityVersion++
	c.rescale(w.Capacity)
	c.reindex(state)
	c.markOveruse(state)
}

func (c *Cell) newWorker(w Worker) int32 {
	id := int32(len(c.workers))
	if len(c.freeIDs) > 0 && c.now >= c.freeIDs[0].from {
		id = c.freeIDs[0].id
		c.freeIDs = c.freeIDs[1:]
	} else {
		c.workers = append(c.workers, nil)
		c.index.grow(len(c.workers))
	}
	c.workers[id] = &worker{Worker: Worker{Name: w.Name, Rack: w.Rack}, id: id, rack: -1}
	c.workerIDs[w.Name] = id
	return id
}

func (c *Cell) setRack(w *worker, name string) {
	id, ok := c.rackIDs[name]
	if !ok {
		id = int32(len(c.racks))
		c.rackIDs[name] = id
		c.racks = append(c.racks, nil)
	}
	if w.rack == id {
		return
	}
	c.leaveRack(w)
	w.rack = id
	c.racks[id] = append(c.racks[id], w.id)
}

func (c *Cell) leaveRack(w *worker) {
	if w.rack < 0 {
		return
	}
	members := c.racks[w.rack]
	for i, id := range members {
		if id == w.id {
			c.racks[w.rack] = append(members[:i], members[i+1:]...)
			break
		}
	}
	w.rack = -1
}

// subtractCapacity subtracts the capacity of a worker and the allocations on it from the totals of the cell.
func (c *Cell) subtractCapacity(w *worker) {
	c.total = c.total.Sub(w.Capacity)
	c.used = c.used.Sub(w.used)
	if w.Leaving {
		return
	}
	c.capacityCounts[w.Capacity]--
	if c.capacityCounts[w.Capacity] == 0 {
		delete(c.capacityCounts, w.Capacity)
	}
}

// rescale adapts the index if a worker has a larger capacity than all earlier ones in some dimension.
func (c *Cell) rescale(capacity resource.Vector) {
	scale := c.index.scale.Max(capacity)
	if scale == c.index.scale {
		return
	}
	for _, w := range c.workers {
		if w != nil {
			c.index.remove(w.id)
		}
	}
	c.index.setScale(scale)
	for _, w := range c.workers {
		if w != nil {
			c.reindex(w)
		}
	}
}

// RemoveWorker removes a worker. Its running tasks stay accounted until the caller reports them as ended.
func (c *Cell) RemoveWorker(name string) {
	id, ok := c.workerIDs[name]
	if !ok || !c.workers[id].present {
		return
	}
	w := c.workers[id]
	c.dropReservation(w.reserved)
	c.subtractCapacity(w)
	w.present = false
	c.topologyVersion++
	c.capacityVersion++ // tasks that waited for this worker may start on the ones that they avoid
	c.reindex(w)
	c.releaseID(w)
}

// releaseID frees the identifier of a removed worker once no task runs on it.
func (c *Cell) releaseID(w *worker) {
	if w.present || len(w.tasks) > 0 {
		return
	}
	c.index.remove(w.id)
	c.leaveRack(w)
	c.dropFromHealthLists(w)
	delete(c.workerIDs, w.Name)
	c.workers[w.id] = nil
	c.freeIDs = append(c.freeIDs, freeID{w.id, c.now + c.options.AvoidFor})
}

// acceptsTasks reports whether tasks may be placed on w if it has enough free capacity.
func (w *worker) acceptsTasks() bool {
	return w.present && !w.Leaving && !w.health.suspended && !w.health.probing && !w.health.atLimit(len(w.tasks))
}

// reindex brings the index up to date with the state of a worker.
func (c *Cell) reindex(w *worker) {
	free := w.Capacity.Sub(w.used)
	old := c.index.free[w.id]
	wasIndexed := c.index.bucket[w.id] != notIndexed
	usable := w.acceptsTasks()
	c.index.set(w.id, free, usable && w.reserved == nil)
	if usable && (!wasIndexed || !free.Fits(old)) {
		c.capacityVersion++
	}
}
