package main

import (
	"fmt"
	"strings"
	"time"

	"samphireplank.example/samphireplank/platform"
	"samphireplank.example/samphireplank/store"
)

// platformClient is what commands use of the platform.
type platformClient interface {
	store.Store
	store.Directory
}

// connector returns a client of the platform; tests replace it.
type connector func(addresses []string, timeout time.Duration) (platformClient, error)

// platformOptions are the flags of commands that use the platform.
type platformOptions struct {
	Platform        []string      `long:"platform" value-name:"HOST:PORT" required:"true" description:"Address of the platform's service; repeat the flag for several"`
	PlatformTimeout time.Duration `long:"platform-timeout" value-name:"DURATION" default:"2s" description:"Longest wait for one answer of the platform"`
}

func (o platformOptions) connect(e *environment) (platformClient, error) {
	if o.PlatformTimeout <= 0 {
		return nil, &settingsError{fmt.Errorf("--platform-timeout is %v, it must be above 0", o.PlatformTimeout)}
	}
	return e.connect(o.Platform, o.PlatformTimeout)
}

// connect doesn't let long polls wait: commands read the present state only.
func connect(addresses []string, timeout time.Duration) (platformClient, error) {
	return store.NewKVStore(keyspaces(addresses, "", timeout), time.Millisecond), nil
}

// keyspaces returns the store behind the given addresses.
func keyspaces(addresses []string, zone string, timeout time.Duration) store.Failover {
	var all store.Failover
	for _, address := range addresses {
		all = append(all, platform.NewKVClient(platform.KVClientConfig{Zone: zone, Address: strings.TrimPrefix(address, "http://"), Timeout: timeout}))
	}
	return all
}

// defaultPlatformTimeout bounds a call of commands without a flag for it.
const defaultPlatformTimeout = 2 * time.Second
