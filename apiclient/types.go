package apiclient

import (
	"bytes"
	"encoding/json"
	"strconv"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
)

// Int is an integer that is encoded in JSON as a number or, as protobuf encodes 64-bit integers, as a string.
type Int int64

// UnmarshalJSON decodes a number or a string.
func (i *Int) UnmarshalJSON(text []byte) error {
	value, err := strconv.ParseInt(string(bytes.Trim(text, `"`)), 10, 64)
	*i = Int(value)
	return err
}

// Resources is an amount of each kind of capacity.
type Resources struct {
	MilliCPU     Int `json:"milli_cpu"`
	MemoryBytes  Int `json:"memory_bytes"`
	Accelerators Int `json:"accelerators"`
}

// Submitted is the response to a submission.
type Submitted struct {
	ID string `json:"id"`
	// Repeated is true if the request key had already been used for the same work.
	Repeated bool `json:"repeated"`
}

// WorkList is one page of the work of a team.
type WorkList struct {
	Work []*siskinv1.WorkStatus
	// UnavailableShards lists the shards whose work is missing from the page.
	UnavailableShards []string
}

// Explanation states why work waits and what would have to change.
type Explanation struct {
	ID            string `json:"id"`
	WaitingReason string `json:"waiting_reason"`
	WaitingRemedy string `json:"waiting_remedy"`
	ReadyByAtRisk bool   `json:"ready_by_at_risk"`
}

// Team is a team with its use of the fleet.
type Team struct {
	Name    string    `json:"name"`
	Share   Int       `json:"share"`
	Ceiling Resources `json:"ceiling"`
	Running Resources `json:"running"`
	Queued  Resources `json:"queued"`
}

// IssuedKey is a new key with its secret, which is returned only once.
type IssuedKey struct {
	ID   string `json:"id"`
	Team string `json:"team"`
	Key  string `json:"key"`
}

// Key is a key without its secret.
type Key struct {
	ID              string `json:"id"`
	Team            string `json:"team"`
	Withdrawn       bool   `json:"withdrawn"`
	IssuedBy        string `json:"issued_by"`
	IssuedUnixMs    Int    `json:"issued_unix_ms"`
	WithdrawnUnixMs Int    `json:"withdrawn_unix_ms"`
}

// Change is one difference between two bundles.
type Change struct {
	Path string `json:"path"`
	From string `json:"from"`
	To   string `json:"to"`
}

// BundleStatus is the bundle in force on each VM.
type BundleStatus struct {
	Version Int              `json:"version"`
	VMs     []BundleVMStatus `json:"vms"`
}

// BundleVMStatus is the bundle in force on one VM.
type BundleVMStatus struct {
	VM      string `json:"vm"`
	Version Int    `json:"version"`
	// AgeMs is how long ago the store confirmed the VM's configuration; -1 if it has not done so since the VM started.
	AgeMs Int `json:"age_ms"`
	// InForceAfterMs is the time from the sign-off until the bundle came into force on the VM; -1 if it is not known.
	InForceAfterMs Int  `json:"in_force_after_ms"`
	Reachable      bool `json:"reachable"`
}

// ZoneStatus is the service state of a zone.
type ZoneStatus struct {
	Zone        string `json:"zone"`
	State       string `json:"state"`
	SinceUnixMs Int    `json:"since_unix_ms"`
	ChangedBy   string `json:"changed_by"`
}

// ZoneReport is the service state of a zone with its tasks.
type ZoneReport struct {
	Status  ZoneStatus `json:"status"`
	Running Int        `json:"running"`
	Queued  Int        `json:"queued"`
}

// VM is a VM as the platform and the other VMs see it.
type VM struct {
	Name    string `json:"name"`
	Role    string `json:"role"`
	Zone    string `json:"zone"`
	Rack    string `json:"rack"`
	Leaving bool   `json:"leaving"`
	State   string `json:"state"`
}

// decode decodes a JSON response; fields of newer servers are ignored.
func decode[T any](resp response) (T, error) {
	var value T
	if err := checkStatus(resp); err != nil {
		return value, err
	}
	return value, eris.Wrap(json.Unmarshal(resp.body, &value), "decode response")
}

func decodeMessage(text []byte, into proto.Message) error {
	return eris.Wrap(protojson.UnmarshalOptions{DiscardUnknown: true}.Unmarshal(text, into), "decode response")
}

func encodeMessage(message proto.Message) ([]byte, error) {
	text, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(message)
	return text, eris.Wrap(err, "encode request")
}
