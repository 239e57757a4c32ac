package main

import (
	"context"
	"fmt"
	"io"

	"samphireplank.example/samphireplank/contract"
)

const checkHelp = "Checks object files as one set, without contacting anything, and reports all problems at once."

type checkCommand struct {
	Files objectFiles `positional-args:"yes"`
}

// checkResult describes an accepted set.
type checkResult struct {
	Digest     contract.Digest `json:"digest"`
	Size       int             `json:"size"` // bytes in canonical form
	Services   int             `json:"services"`
	Priorities int             `json:"priorities"`
	Kinds      int             `json:"kinds"`
	Limits     int             `json:"limits"`
	Teams      int             `json:"teams"`
}

// Run prints a summary of the set.
func (c *checkCommand) Run(_ context.Context, e *environment) error {
	set, err := c.Files.read()
	if err != nil {
		return err
	}
	data, err := set.Encode()
	if err != nil {
		return err
	}
	r := checkResult{
		Digest:     set.Digest(),
		Size:       len(data),
		Services:   len(set.Services),
		Priorities: len(set.Priorities),
		Kinds:      len(set.Kinds),
		Limits:     len(set.Limits),
		Teams:      len(set.Teams),
	}
	return e.print(r, func(w io.Writer) {
		fmt.Fprintf(w, "accepted: services %d, priorities %d, kinds %d, limits %d, teams %d; %d of %d bytes, digest %s\n",
			r.Services, r.Priorities, r.Kinds, r.Limits, r.Teams, r.Size, contract.MaxEncodedSize, r.Digest)
	})
}
