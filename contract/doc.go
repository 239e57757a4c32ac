// Package contract holds the objects that operators publish: services, kinds of work, priorities, teams and limits.
//
// Objects refer to each other by name. A Set is checked as a whole before it is published and is immutable afterwards.
// One table of fields (schema.go) says what an object file may contain; reading, the check, the canonical form and
// differences all follow it, so a new field needs one line there and one in the struct:
//
//	set, problems := contract.ParseFiles(files)
//	data, err := set.Encode()
//	change := contract.NewPatch(inForce, set)
package contract
