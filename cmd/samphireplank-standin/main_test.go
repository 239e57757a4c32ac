package main

import (
	"errors"
	"testing"

	"github.com/jessevdk/go-flags"
	"github.com/matryer/is"
)

// Guards against flags and variables that don't reach the endpoints, and against a fault that no endpoint gets.
func TestEndpointFlags(t *testing.T) {
	is := is.New(t)
	t.Setenv("SAMPHIREPLANK_STANDIN_ZONE", "a,b")
	var c endpointCommand
	_, err := flags.NewParser(&c, flags.None).ParseArgs([]string{"--count", "3", "--port", "9000", "--fault", "endpoint-2:fail"})
	is.NoErr(err)
	endpoints, err := c.endpoints()
	is.NoErr(err)
	is.Equal(len(endpoints), 3)
	is.Equal(endpoints[1].Zone+" "+endpoints[2].Zone, "b a")
	is.Equal(endpoints[2].Address, "127.0.0.1:9002")
	is.Equal(len(endpoints[0].Faults)+len(endpoints[1].Faults), 1)
	for _, fault := range []string{"endpoint-4:fail", "endpoint-1:unknown"} {
		c.Faults = []string{fault}
		_, err := c.endpoints()
		is.True(errors.Is(err, errSettings))
	}
}
