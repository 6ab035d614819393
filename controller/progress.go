package controller

import (
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/dispatch"
	"siskinstack.example/siskinstack/infra"
)

const (
	// maxProgressParts keeps the progress of a job, with its first key, within one transaction.
	maxProgressParts = maxJobsPerCommit - 1
	// maxBatchBytes bounds the values of a commit of several jobs, so that small jobs do not wait for the transfer of large ones.
	maxBatchBytes = infra.MaxValueBytes
	// transferRate is the least rate, in bytes a second, at which the store takes what a commit has beyond maxBatchBytes.
	transferRate = 2 << 20
)

var errPartsIncomplete = eris.New("parts of the progress are missing or do not belong together")

// encodedChange is a change with the entries of its commit.
type encodedChange struct {
	dispatch.Change
	writes  []infra.Write
	removes []string
	// parts is the number of keys besides the first.
	parts int
}

func (e encodedChange) bytes() int { return valueBytes(e.writes) }

func valueBytes(writes []infra.Write) int {
	n := 0
	for _, w := range writes {
		n += len(w.Value)
	}
	return n
}

// transferTime returns what is added to the time limits of a commit for its size.
func transferTime(txn infra.Txn) time.Duration {
	beyond := max(0, valueBytes(txn.Writes)-maxBatchBytes)
	return time.Duration(beyond) * time.Second / transferRate
}

// encodeChanges returns changes as batches, each for one transaction; parts is the number of stored parts by job.
func (t *term) encodeChanges(changes []dispatch.Change, parts map[string]int) ([][]encodedChange, error) {
	var batches [][]encodedChange
	entries, size := 0, 0
	for _, change := range changes {
		data, err := proto.Marshal(change.Progress)
		if err != nil {
			return nil, err
		}
		if len(data) > maxProgressParts*infra.MaxValueBytes {
			t.withLock(func() { t.state.GiveUp(change, unixMs()) })
			continue
		}
		e, err := encodeChange(change, data, parts[change.ID])
		if err != nil {
			return nil, err
		}
		n, bytes := len(e.writes)+len(e.removes), e.bytes()
		if len(batches) == 0 || entries+n > maxJobsPerCommit || size+bytes > maxBatchBytes {
			batches = append(batches, nil)
			entries, size = 0, 0
		}
		last := len(batches) - 1
		batches[last] = append(batches[last], e)
		entries, size = entries+n, size+bytes
	}
	return batches, nil
}

// encodeChange returns a change whose progress has the given encoding. Progress that does not fit into one value is split;
// all parts are written in one transaction, which removes those of the earlier progress that are left.
func encodeChange(change dispatch.Change, data []byte, stored int) (encodedChange, error) {
	e := encodedChange{Change: change}
	head := data
	if len(data) > infra.MaxValueBytes {
		e.parts = (len(data) + infra.MaxValueBytes - 1) / infra.MaxValueBytes
		var err error
		head, err = proto.Marshal(&siskinv1.WorkflowProgress{
			Phase: change.Progress.GetPhase(), EndedUnixMs: change.Progress.GetEndedUnixMs(), Started: change.Progress.GetStarted(),
			Parts: int32(e.parts), PartsChecksum: xxhash.Sum64(data),
		})
		if err != nil {
			return e, err
		}
	}
	e.writes = append(e.writes, infra.Write{Key: ProgressKey(change.ID), Value: head})
	for part := range e.parts {
		value := data[part*infra.MaxValueBytes : min(len(data), (part+1)*infra.MaxValueBytes)]
		e.writes = append(e.writes, infra.Write{Key: progressPartKey(change.ID, part), Value: value})
	}
	for part := e.parts; part < stored; part++ {
		e.removes = append(e.removes, progressPartKey(change.ID, part))
	}
	return e, nil
}

// loadProgress decodes the progress of all jobs. A job whose progress cannot be read is skipped. The caller holds mu.
func (t *term) loadProgress(entries []infra.KeyValue) map[string]*siskinv1.WorkflowProgress {
	heads, parts := map[string][]byte{}, map[string][]byte{}
	for _, entry := range entries {
		id, _ := cutPrefix(entry.Key, progressPrefix)
		job, number, isPart := strings.Cut(id, partSeparator)
		if !isPart {
			heads[id] = entry.Value
			continue
		}
		parts[entry.Key] = entry.Value
		if n, err := strconv.Atoi(number); err == nil && n >= 0 && n < maxProgressParts {
			t.parts[job] = max(t.parts[job], n+1)
		}
	}
	known := map[string]*siskinv1.WorkflowProgress{}
	for id, head := range heads {
		p, err := decodeProgress(id, head, parts)
		if err != nil {
			t.log.Error(err, "cannot decode job progress; skipping the job", "job", id)
			t.skipped[id] = true
			continue
		}
		known[id] = p
	}
	return known
}

// decodeProgress decodes a job's progress from the value of its first key and the parts by key.
func decodeProgress(id string, head []byte, parts map[string][]byte) (*siskinv1.WorkflowProgress, error) {
	p := &siskinv1.WorkflowProgress{}
	if err := proto.Unmarshal(head, p); err != nil || p.GetParts() == 0 {
		return p, err
	}
	var data []byte
	for part := range int(p.GetParts()) {
		value, ok := parts[progressPartKey(id, part)]
		if !ok {
			return nil, errPartsIncomplete
		}
		data = append(data, value...)
	}
	if xxhash.Sum64(data) != p.GetPartsChecksum() {
		return nil, errPartsIncomplete
	}
	whole := &siskinv1.WorkflowProgress{}
	return whole, proto.Unmarshal(data, whole)
}
