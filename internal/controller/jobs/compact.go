package jobs

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
)

const (
	// maxHeldTextBytes bounds a name in a record, as JSON. Longer names are replaced by CompactName.
	maxHeldTextBytes = 200
	// maxHeldTypesBytes bounds the list of machine types in a record, as JSON. Of a longer list only the offered types are held.
	maxHeldTypesBytes = 500
	// digestBytes is the length of the part of a digest that stands for a long name.
	digestBytes = 16

	digestPrefix = "sha256-"
)

// Compact returns the spec in a form whose record fits into a small page. Class and image are only compared with other names, so a digest
// has the same meaning as a long name. isOffered reports whether the cloud offers a machine type; at least one type of the spec must be
// offered.
func (s Spec) Compact(isOffered func(machineType string) bool) Spec {
	s.Class = CompactName(s.Class)
	s.Image = CompactName(s.Image)
	if jsonBytes(s.MachineTypes) > maxHeldTypesBytes {
		s.MachineTypes = filterTypes(s.MachineTypes, isOffered)
	}
	return s
}

// CompactName returns a name that stands for a name of any length. Names of usual length stay as they are.
func CompactName(name string) string {
	if jsonBytes(name) <= maxHeldTextBytes {
		return name
	}
	digest := sha256.Sum256([]byte(name))
	return digestPrefix + hex.EncodeToString(digest[:digestBytes])
}

func filterTypes(types []string, keep func(string) bool) []string {
	var kept []string
	for _, machineType := range types {
		if keep(machineType) {
			kept = append(kept, machineType)
		}
	}
	return kept
}

// jsonBytes returns the size of a text or a list of texts as JSON.
func jsonBytes(value any) int {
	raw, err := json.Marshal(value)
	if err != nil {
		return unencodableRecordBytes
	}
	return len(raw)
}
