package entry

import (
	"fmt"
	"strings"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/refusal"
)

// Limits of one job.
const (
	maxNameBytes    = 128
	maxTasks        = 100_000
	maxCommandBytes = 32 << 10
	maxAttempts     = 100
)

// violations lists the invalid fields of a message, each with its JSON path and the rule that it breaks.
type violations []string

func (v *violations) check(ok bool, path, format string, args ...any) {
	if !ok {
		*v = append(*v, path+": "+fmt.Sprintf(format, args...))
	}
}

// validate reports all violations of a submission at once.
func validate(spec *siskinv1.WorkSpec) error {
	var found violations
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
	for _, argument := range spec.GetCommand() {
		size += len(argument)
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

func (v *violations) checkEach(each *siskinv1.Resources) {
	v.check(each.GetMilliCpu() >= 0, "$.each.milli_cpu", "must not be negative")
	v.check(each.GetMemoryBytes() >= 0, "$.each.memory_bytes", "must not be negative")
	v.check(each.GetAccelerators() >= 0, "$.each.accelerators", "must not be negative")
	requested := each.GetMilliCpu() > 0 || each.GetMemoryBytes() > 0 || each.GetAccelerators() > 0
	v.check(requested, "$.each", "must request some capacity")
}

// checkKind checks for fields that contradict the kind of work.
func (v *violations) checkKind(spec *siskinv1.WorkSpec) {
	isService := spec.GetKind() == siskinv1.WorkKind_WORK_KIND_SERVICE
	v.check(!spec.GetSameRack() || spec.GetKind() == siskinv1.WorkKind_WORK_KIND_GANG, "$.same_rack", "is for gang jobs only")
	v.check(spec.GetUpdateVersion() == 0 || isService, "$.update_version", "is for services only")
	v.check(!spec.GetAtMostOnce() || !isService, "$.at_most_once", "is not for services, which are kept running")
	v.check(!spec.GetAtMostOnce() || spec.GetMaxAttempts() <= 1, "$.max_attempts", "must be 1 or absent for work that runs at most once")
}
