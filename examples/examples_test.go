package examples_test

import (
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/bundle"
	"siskinstack.example/siskinstack/examples"
	"siskinstack.example/siskinstack/jsoncheck"
	"siskinstack.example/siskinstack/resource"
	"siskinstack.example/siskinstack/settings"
	"siskinstack.example/siskinstack/tlsfiles/tlstest"
)

var sites = []string{"jadeleaf", "kvarali"}

func read(t *testing.T, name string) []byte {
	text, err := examples.Files.ReadFile(name)
	assert.NilError(t, err)
	return text
}

// writeTLS writes generated TLS files to the paths that the example settings name.
func writeTLS(t *testing.T, folder string) {
	authority, err := tlstest.NewAuthority("example")
	assert.NilError(t, err)
	tls := filepath.Join(folder, "tls")
	for _, kind := range []string{"peer", "caller"} {
		issued := t.TempDir()
		files, err := authority.Write(issued, kind)
		assert.NilError(t, err)
		assert.NilError(t, os.MkdirAll(tls, 0o700))
		assert.NilError(t, os.Rename(files.GetCertificate(), filepath.Join(tls, kind+".pem")))
		assert.NilError(t, os.Rename(files.GetKey(), filepath.Join(tls, kind+"-key.pem")))
		assert.NilError(t, os.Rename(files.GetAuthority(), filepath.Join(tls, kind+"-authority.pem")))
	}
}

// TestSettingsAreValid guards against example settings that siskind refuses, or that do not match the bundle of their
// site.
func TestSettingsAreValid(t *testing.T) {
	for _, site := range sites {
		folder := t.TempDir()
		writeTLS(t, folder)
		s, findings, err := settings.Parse(read(t, site+"/settings.json"), folder)
		assert.NilError(t, err)
		assert.NilError(t, findings.Err(), site)
		zones := map[string]bool{}
		for _, zone := range exampleBundle(t, site).GetZones() {
			zones[zone.GetName()] = true
		}
		for _, peer := range s.GetPeers() {
			assert.Assert(t, zones[peer.GetZone()], "%s: zone %s is not in the bundle", site, peer.GetZone())
		}
		// Author, reviewer and signer differ, so three operators are the fewest that can put a bundle in force.
		assert.Assert(t, len(s.GetOperators()) >= 3, site)
	}
}

func exampleBundle(t *testing.T, site string) *siskinv1.Bundle {
	b, findings, err := bundle.Parse(read(t, site+"/bundle.json"))
	assert.NilError(t, err)
	assert.NilError(t, findings.Err(), site)
	return b
}

// TestBundlesMatchTheSites guards against example bundles with other zones or teams than the sites have, or without a
// queue open to all.
func TestBundlesMatchTheSites(t *testing.T) {
	for _, site := range sites {
		b := exampleBundle(t, site)
		openQueues := 0
		for _, queue := range b.GetQueues() {
			if queue.GetOpenToAll() {
				openQueues++
			}
		}
		assert.Equal(t, len(b.GetZones()), 3)
		assert.Equal(t, len(b.GetTeams()), 6)
		assert.Equal(t, len(b.GetServices()), 2)
		assert.Equal(t, openQueues, 1)
	}
}

// TestWorkFitsTheBundle guards against example work with unknown fields, for a queue that does not exist, or above its
// team's ceiling.
func TestWorkFitsTheBundle(t *testing.T) {
	found := 0
	for _, site := range sites {
		names, err := fs.Glob(examples.Files, site+"/work-*.json")
		assert.NilError(t, err)
		found += len(names)
		ceilings := queueCeilings(exampleBundle(t, site))
		for _, name := range names {
			spec := &siskinv1.WorkSpec{}
			findings, err := jsoncheck.Decode(read(t, name), spec)
			assert.NilError(t, err)
			assert.NilError(t, findings.Err(), name)
			ceiling, ok := ceilings[spec.GetQueue()]
			assert.Assert(t, ok, "%s: no queue %s", name, spec.GetQueue())
			total := resource.FromProto(spec.GetEach()).Scale(int64(spec.GetCount()))
			assert.Assert(t, !total.IsZero() && total.Fits(ceiling), "%s needs %s of %s", name, total, ceiling)
			assert.Assert(t, spec.GetKind() != siskinv1.WorkKind_WORK_KIND_UNSPECIFIED, name)
			if strings.HasPrefix(path.Base(name), "work-reindex") {
				assert.Assert(t, spec.GetAtMostOnce(), "%s is not at most once: a second run could bill a client twice", name)
			}
		}
	}
	assert.Equal(t, found, 7)
}

func queueCeilings(b *siskinv1.Bundle) map[string]resource.Vector {
	teams := map[string]resource.Vector{}
	for _, team := range b.GetTeams() {
		teams[team.GetName()] = resource.FromProto(team.GetCeiling())
	}
	queues := map[string]resource.Vector{}
	for _, queue := range b.GetQueues() {
		queues[queue.GetName()] = teams[queue.GetTeam()+queue.GetOpenTeam()]
	}
	return queues
}
