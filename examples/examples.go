// Package examples embeds the example files of the two sites: settings of one entry VM, a bundle and work files.
//
// The operators' token hashes and sign-off keys in them belong to nobody, so a copied file grants no access until they
// are replaced.
package examples

import "embed"

// Files holds the example files of the sites jadeleaf and kvarali.
//
//go:embed jadeleaf/*.json kvarali/*.json
var Files embed.FS
