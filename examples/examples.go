// Package examples embeds the files that the demonstration needs.
package examples

import _ "embed"

// DemoObjects is the object file of the demonstration.
//
//go:embed demo/objects.yaml
var DemoObjects []byte

// DemoProfile is the load profile of the demonstration.
//
//go:embed profiles/demo.yaml
var DemoProfile []byte
