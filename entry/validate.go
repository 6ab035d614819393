package entry

import (
	"fmt"
	"strings"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/refusal"
)

// Bounds of one job.
const (
	maxNameBytes    = 128
	maxTasks        = 100_000
	maxCommandBytes = 32 << 10
	maxAttempts     = 100
)

// findings collects what is wrong with a message, each with its JSON path.
type findings []string

func (f *findings) check(ok bool, path, format string, args ...any) {
	if !ok {
		*f = append(*f, path+": "+fmt.Sprintf(format, args...))
	}
}

// validate reports everything that is wrong with a hand-in at once.
func validate(spec *siskinv1.WorkSpec) error {
	var found findings
	found.check(spec.GetName() != "" && len(spec.GetName()) <= maxNameBytes, "$.name", "must have 1 to %d bytes", maxNameBytes)
	found.check(known(siskinv1.WorkKind_name, int32(spec.GetKind())) && spec.GetKind() != 0, "$.kind", "must be a kind of work")
	found.check(spec.GetQueue() != "", "$.queue", "must name a queue")
	found.check(spec.GetCount() >= 1 && spec.GetCount() <= maxTasks, "$.count", "must be from 1 to %d", maxTasks)
	found.check(known(siskinv1.Urgency_name, int32(spec.GetUrgency())), "$.urgency", "must be an urgency")
	found.check(spec.GetDeclaredRunMs() >= 0, "$.declared_run_ms", "must not be negative")
	found.check(spec.GetReadyByUnixMs() >= 0, "$.ready_by_unix_ms", "must not be negative")
	found.check(spec.GetUpdateVersion() >= 0, "$.update_version", "must not be negative")
	found.check(spec.GetMaxAttempts() >= 0 && spec.GetMaxAttempts() <= maxAttempts, "$.max_attempts", "must be from 0 to %d", maxAttempts)
	found.checkEach(spec.GetEach())
	found.checkKind(spec)
	size := 0
	for _, word := range spec.GetCommand() {
		size += len(word)
	}
	found.check(size <= maxCommandBytes, "$.command", "must not exceed %d bytes", maxCommandBytes)
	if len(found) == 0 {
		return nil
	}
	return refusal.New(refusal.BadRequest, "%s", strings.Join(found, "; "))
}

func known(names map[int32]string, value int32) bool {
	_, ok := names[value]
	return ok
}

func (f *findings) checkEach(each *siskinv1.Resources) {
	f.check(each.GetMilliCpu() >= 0, "$.each.milli_cpu", "must not be negative")
	f.check(each.GetMemoryBytes() >= 0, "$.each.memory_bytes", "must not be negative")
	f.check(each.GetAccelerators() >= 0, "$.each.accelerators", "must not be negative")
	needs := each.GetMilliCpu() > 0 || each.GetMemoryBytes() > 0 || each.GetAccelerators() > 0
	f.check(needs, "$.each", "must ask for some capacity")
}

// checkKind finds settings that contradict the kind of work.
func (f *findings) checkKind(spec *siskinv1.WorkSpec) {
	isService := spec.GetKind() == siskinv1.WorkKind_WORK_KIND_SERVICE
	f.check(!spec.GetSameRack() || spec.GetKind() == siskinv1.WorkKind_WORK_KIND_GANG, "$.same_rack", "is for gang jobs only")
	f.check(spec.GetUpdateVersion() == 0 || isService, "$.update_version", "is for services only")
	f.check(!spec.GetAtMostOnce() || !isService, "$.at_most_once", "is not for services, which are kept running")
	f.check(!spec.GetAtMostOnce() || spec.GetMaxAttempts() <= 1, "$.max_attempts", "must be 1 or absent for work that runs at most once")
}
