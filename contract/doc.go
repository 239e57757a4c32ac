// Package contract holds the objects that operators publish: services, kinds of work, priorities, teams and limits.
//
// Objects refer to each other by name. A Set is checked as a whole before it is published and is immutable afterwards.
// The schema table (schema.go) defines the fields of the objects; parsing, validation, the canonical form and
// differences all use it, so a new field needs one line there and one in the struct:
//
//	set, problems := contract.ParseFiles(files)
//	data, err := set.Encode()
//	change := contract.NewPatch(active, set)
package contract
