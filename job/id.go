package job

import (
	"fmt"
	"strconv"
	"strings"
)

// ID identifies a submission and names the entry VM that issued the id, its home.
//
// The text form is "<zone>.<vm>.<incarnation>.<sequence>" with the last two in base 36:
//
//	id, err := job.ParseID("tartu-a.entry-1.k3f9.1z")
type ID struct {
	Zone        string
	VM          string
	Incarnation uint64
	Sequence    uint64
}

// String returns the text form of the id.
func (id ID) String() string {
	return id.Zone + "." + id.VM + "." + strconv.FormatUint(id.Incarnation, 36) + "." + strconv.FormatUint(id.Sequence, 36)
}

// ParseID parses the text form of an id; the error names the malformed part.
func ParseID(text string) (ID, error) {
	const maxIDLength = 128
	if len(text) > maxIDLength {
		return ID{}, fmt.Errorf("job id has %d bytes, at most %d are allowed", len(text), maxIDLength)
	}
	parts := strings.Split(text, ".")
	if len(parts) != 4 {
		return ID{}, fmt.Errorf("job id %q does not have the form zone.vm.incarnation.sequence", text)
	}
	if parts[0] == "" || parts[1] == "" {
		return ID{}, fmt.Errorf("job id %q has an empty zone or VM", text)
	}
	incarnation, err := strconv.ParseUint(parts[2], 36, 64)
	if err != nil {
		return ID{}, fmt.Errorf("job id %q has a malformed incarnation: %w", text, err)
	}
	sequence, err := strconv.ParseUint(parts[3], 36, 64)
	if err != nil {
		return ID{}, fmt.Errorf("job id %q has a malformed sequence: %w", text, err)
	}
	return ID{Zone: parts[0], VM: parts[1], Incarnation: incarnation, Sequence: sequence}, nil
}
