// Package names validates the names of VMs, zones, teams, queues, services and operators.
package names

import "siskinstack.example/siskinstack/jsoncheck"

// MaxBytes is the maximum length of a name, the same as that of a DNS label.
const MaxBytes = 63

// IsValid reports whether name has 1 to MaxBytes lower-case letters, digits and inner hyphens. Names become parts of store
// keys, URLs and tokens, so they contain no slashes, dots or underscores.
func IsValid(name string) bool {
	if name == "" || len(name) > MaxBytes || name[0] == '-' || name[len(name)-1] == '-' {
		return false
	}
	for i := range len(name) {
		c := name[i]
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' {
			return false
		}
	}
	return true
}

// Check adds a finding if name is missing or not valid.
func Check(findings *jsoncheck.Findings, path, name string) {
	switch {
	case name == "":
		findings.Add(path, "is missing")
	case !IsValid(name):
		findings.Add(path, "%.70q is not a name: 1 to %d lower-case letters, digits and inner hyphens", name, MaxBytes)
	}
}

// Unique finds names that occur more than once in a list. It maps each value to the path of its first occurrence.
type Unique map[string]string

// Check adds a finding if name is missing, not valid, or a duplicate.
func (u Unique) Check(findings *jsoncheck.Findings, path, name string) {
	Check(findings, path, name)
	u.CheckValue(findings, path, name)
}

// CheckValue adds a finding if a value, which need not be a valid name, is a duplicate. An empty value is ignored.
func (u Unique) CheckValue(findings *jsoncheck.Findings, path, value string) {
	if value == "" {
		return
	}
	if first, ok := u[value]; ok {
		findings.Add(path, "%.70q is already used at %s", value, first)
		return
	}
	u[value] = path
}
