// Package configstore defines the store keys of the operator configuration, the compare-and-swap write that all changes of
// the configuration use, and the purge of old entries.
package configstore

import (
	"fmt"
	"strings"
)

// Prefix is the prefix of all keys of the operator configuration.
const Prefix = "config/"

// BundleCurrent is the key of the signed proposal whose bundle is in force.
const BundleCurrent = Prefix + "bundle/current"

const (
	// purgeMark is the key of the PurgeMark. Views do not follow it.
	purgeMark      = Prefix + "bundle/purged"
	proposalPrefix = Prefix + "bundle/proposal/"
	teamKeyPrefix  = Prefix + "team-key/"
	zonePrefix     = Prefix + "zone/"
)

// Proposal returns the key of the proposal of a version.
func Proposal(version int64) string { return fmt.Sprintf("%s%d", proposalPrefix, version) }

// TeamKey returns the store key of a team key.
func TeamKey(id string) string { return teamKeyPrefix + id }

// TeamKeys returns the prefix of all team keys.
func TeamKeys() string { return teamKeyPrefix }

// Zone returns the key of the state of an availability zone.
func Zone(zone string) string { return zonePrefix + zone }

// Zones returns the prefix of all zone states.
func Zones() string { return zonePrefix }

// TeamKeyID returns the id in the store key of a team key.
func TeamKeyID(key string) (string, bool) { return strings.CutPrefix(key, teamKeyPrefix) }

// ZoneName returns the zone in the key of the state of an availability zone.
func ZoneName(key string) (string, bool) { return strings.CutPrefix(key, zonePrefix) }
