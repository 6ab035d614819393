package controller

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Prefixes of the keys in the store.
const (
	// headPrefix is the prefix of the head keys. Each commit of a controller replaces one of them, so that a commit whose
	// response was lost cannot take effect after a later one.
	headPrefix = "commit/head/"
	// intakePrefix is the prefix of the keys that any machine writes and the controller watches.
	intakePrefix    = "in/"
	jobPrefix       = intakePrefix + "job/"
	cancelPrefix    = intakePrefix + "cancel/"
	tombstonePrefix = intakePrefix + "tombstone/"
	memberPrefix    = intakePrefix + "member/"
	progressPrefix  = "progress/"
	// partSeparator separates the job from the number of the part in the key of a part of its progress.
	partSeparator = "/"
	// wavePrefix is the prefix of the progress records of maintenance waves.
	wavePrefix = "wave/"
)

// JobKey returns the key of an accepted job.
func JobKey(id string) string { return jobPrefix + id }

// CancelKey returns the key that asks to cancel a job.
func CancelKey(id string) string { return cancelPrefix + id }

// TombstoneKey returns the key that keeps a job from being accepted after its cancellation was answered. Each team has its
// own, so that no team can keep the jobs of another from being accepted.
func TombstoneKey(id, team string) string {
	return tombstonePrefix + id + "/" + strconv.FormatUint(xxhash.Sum64String(team), 16)
}

// MemberKey returns the key under which a machine registers for the controller.
func MemberKey(machine string) string { return memberPrefix + machine }

// ProgressKey returns the key of a job's progress.
func ProgressKey(id string) string { return progressPrefix + id }

// progressPartKey returns the key of a part of a job's progress.
func progressPartKey(id string, part int) string {
	return ProgressKey(id) + partSeparator + strconv.Itoa(part)
}

// WaveKey returns the key of a maintenance wave's record.
func WaveKey(number int64) string { return wavePrefix + strconv.FormatInt(number, 10) }

func cutPrefix(key, prefix string) (string, bool) { return strings.CutPrefix(key, prefix) }
