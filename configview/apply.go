package configview

import (
	"crypto/sha256"
	"strings"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/configstore"
	"siskinstack.example/siskinstack/infra"
)

// prefixes are the parts of the configuration that a view holds. Proposals are left out: only the operators' routes need
// them, and old ones would make every listing larger.
var prefixes = []string{configstore.BundleCurrent, configstore.TeamKeys(), configstore.Zones()}

func isFollowed(key string) bool {
	for _, prefix := range prefixes {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}

// apply stores a value if it is valid and newer than the last valid value of its key. A valid value older than a rejected
// one is stored too: the rejected one may have been read before the watch delivers the valid one. The caller holds mu.
func (v *View) apply(key string, value []byte, revision infra.Revision) {
	earlier, known := v.entries[key]
	if !isFollowed(key) || known && revision <= earlier.revision || revision == v.rejected[key] {
		return
	}
	decoded, err := v.decode(key, value, earlier)
	if err != nil {
		v.reject(key, revision, err)
		return
	}
	if key == configstore.BundleCurrent {
		v.bundleDeleted = false
	}
	decoded.value, decoded.revision = value, revision
	v.entries[key] = decoded
	v.unpublished = true
}

// reject reports an invalid value. The last valid one stays in force. The caller holds mu.
func (v *View) reject(key string, revision infra.Revision, err error) {
	v.rejected[key] = revision
	v.counters.rejected.Inc()
	v.options.Logger.Error(err, "configuration value rejected; the last valid one stays in force",
		"key", key, "revision", int64(revision), "remedy", remedy(key))
}

// remedy returns what an operator has to do about an invalid value.
func remedy(key string) string {
	if id, ok := configstore.TeamKeyID(key); ok {
		return "withdraw key " + id + " (POST /v1/keys/" + id + "/withdraw) and issue a new one to its team"
	}
	if zone, ok := configstore.ZoneName(key); ok {
		return "set the state of the zone again with POST /v1/zones/" + zone + "/drain or /return"
	}
	if key == configstore.BundleCurrent {
		return "compare sign_off_key of the operators in the settings of all entry VMs, then find out who wrote the value " +
			"without the operators' routes; see docs/operations/bundles.md"
	}
	return "find out which release or program writes this key"
}

// remove deletes the entry of a deleted key. A deleted bundle stays in force. The caller holds mu.
func (v *View) remove(key string, revision infra.Revision) {
	earlier, known := v.entries[key]
	if !known || revision <= earlier.revision || revision == v.rejected[key] {
		return
	}
	if key == configstore.BundleCurrent {
		// The key is missing in every later listing too, but the deletion is reported once.
		if !v.bundleDeleted {
			v.bundleDeleted = true
			v.reject(key, revision, eris.New("the bundle in force was deleted"))
		}
		return
	}
	delete(v.entries, key)
	delete(v.rejected, key)
	v.unpublished = true
}

// decode decodes a value and checks it against the last valid one. A valid bundle comes into force at once. The caller holds
// mu.
func (v *View) decode(key string, value []byte, earlier entry) (entry, error) {
	if key == configstore.BundleCurrent {
		return entry{}, v.adoptBundle(value)
	}
	if id, ok := configstore.TeamKeyID(key); ok {
		decoded, err := decodeTeamKey(id, value, earlier.key)
		return entry{key: decoded}, err
	}
	if name, ok := configstore.ZoneName(key); ok {
		decoded, err := decodeZone(name, value)
		return entry{zone: decoded}, err
	}
	return entry{}, eris.New("this release does not know the key")
}

// adoptBundle puts a verified bundle of a higher version in force. The content in force is accepted without effect. The
// caller holds mu.
func (v *View) adoptBundle(value []byte) error {
	p := &siskinv1.BundleProposal{}
	if err := proto.Unmarshal(value, p); err != nil {
		return eris.Wrap(err, "decode bundle")
	}
	if err := v.options.Signers.Verify(p); err != nil {
		return err
	}
	if !v.supersedes(v.inForce, p) {
		if p.GetContentSha256() == v.inForce.GetContentSha256() {
			return nil
		}
		return eris.Errorf("version %d does not replace version %d, which is in force",
			p.GetBundle().GetVersion(), v.inForce.GetBundle().GetVersion())
	}
	v.inForce = p
	v.history = append(v.history, InForce{Version: p.GetBundle().GetVersion(), Since: v.options.Clock.Now()})
	if len(v.history) > maxHistory {
		v.history = v.history[len(v.history)-maxHistory:]
	}
	v.options.Logger.Info("bundle in force", "version", p.GetBundle().GetVersion(), "signer", p.GetSigner())
	return nil
}

func decodeTeamKey(id string, value []byte, earlier *siskinv1.TeamKey) (*siskinv1.TeamKey, error) {
	key := &siskinv1.TeamKey{}
	if err := proto.Unmarshal(value, key); err != nil {
		return nil, eris.Wrap(err, "decode team key")
	}
	complete := key.GetTeam() != "" && len(key.GetSecretSha256()) == sha256.Size
	switch {
	// The tombstone of a key whose value was corrupt holds only the id, the mark of the withdrawal and its time.
	case key.GetId() != id || !complete && !key.GetWithdrawn():
		return nil, eris.New("team key is incomplete")
	case earlier.GetWithdrawn() && !key.GetWithdrawn():
		return nil, eris.New("a withdrawn team key can't become valid again")
	}
	return key, nil
}

func decodeZone(name string, value []byte) (*siskinv1.ZoneStatus, error) {
	zone := &siskinv1.ZoneStatus{}
	if err := proto.Unmarshal(value, zone); err != nil {
		return nil, eris.Wrap(err, "decode zone")
	}
	state := zone.GetState()
	if zone.GetZone() != name || state != siskinv1.ZoneState_ZONE_STATE_IN_SERVICE && state != siskinv1.ZoneState_ZONE_STATE_DRAINING {
		return nil, eris.New("zone state is incomplete")
	}
	return zone, nil
}
