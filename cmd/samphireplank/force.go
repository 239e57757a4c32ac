package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"samphireplank.example/samphireplank/entry"
	"samphireplank.example/samphireplank/store"
)

const (
	// Entry VMs usually have a set in force within 50 ms; the pause between rounds starts shorter than that and doubles.
	firstAskPause = 20 * time.Millisecond
	lastAskPause  = 500 * time.Millisecond
	askTimeout    = time.Second
	// maxAsking bounds concurrent requests to entry VMs.
	maxAsking = 32
	// maxStatusSize bounds the answer of an entry VM in bytes.
	maxStatusSize = 1 << 20
)

// vmStatus is what an entry VM says about its configuration.
type vmStatus struct {
	ID         string `json:"id"`
	Zone       string `json:"zone"`
	Address    string `json:"address"`
	Generation uint64 `json:"generation"`
	Error      string `json:"error,omitempty"` // why the generation is not known
	full       entry.Status
}

// String names the VM and says what it has in force.
func (s vmStatus) String() string {
	if s.Error != "" {
		return fmt.Sprintf("%s (%s, %s): %s", s.ID, s.Zone, s.Address, s.Error)
	}
	return fmt.Sprintf("%s (%s, %s): generation %d", s.ID, s.Zone, s.Address, s.Generation)
}

// notInForceError names the entry VMs where a published set is not in force in time.
type notInForceError struct {
	generation uint64
	vms        []vmStatus
	err        error // why the list of entry VMs is not known
}

func (e *notInForceError) Error() string {
	if e.err != nil {
		return fmt.Sprintf("generation %d was published, but where it is in force is not known: %v", e.generation, e.err)
	}
	names := make([]string, 0, len(e.vms))
	for _, vm := range e.vms {
		names = append(names, vm.ID)
	}
	return fmt.Sprintf("generation %d was published but is not in force in time on %s", e.generation, strings.Join(names, ", "))
}

// waitInForce asks the live entry VMs until all of them have the generation or a higher one, or the time is over.
func waitInForce(ctx context.Context, directory store.Directory, generation uint64, wait time.Duration) (in, notIn []vmStatus, err error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	failure := &notInForceError{generation: generation}
	for pause := firstAskPause; ; pause = min(2*pause, lastAskPause) {
		vms, listErr := entryVMs(ctx, directory)
		statuses := askAll(ctx, vms)
		// A round that the end of the wait interrupted says less than the one before it.
		if first := in == nil; first || ctx.Err() == nil {
			failure.err = listErr
			if listErr == nil {
				in, notIn = split(statuses, generation)
			}
		}
		if failure.err == nil && len(notIn) == 0 {
			return in, notIn, nil
		}
		select {
		case <-ctx.Done():
			failure.vms = notIn
			return in, notIn, failure
		case <-time.After(pause):
		}
	}
}

func split(statuses []vmStatus, generation uint64) (in, notIn []vmStatus) {
	in, notIn = []vmStatus{}, []vmStatus{}
	for _, s := range statuses {
		if s.Error == "" && s.Generation >= generation {
			in = append(in, s)
		} else {
			notIn = append(notIn, s)
		}
	}
	return in, notIn
}

// entryVMs returns the live entry VMs of the platform's list, ordered by zone and id. VMs that are leaving are left
// out: they may stop at any moment, and nobody waits for them.
func entryVMs(ctx context.Context, directory store.Directory) ([]store.VM, error) {
	list, err := directory.VMs(ctx, 0)
	// An interrupted call returns an empty list without an error, which must not be taken for a fleet without VMs.
	if err = cmp.Or(err, ctx.Err()); err != nil {
		return nil, fmt.Errorf("read the list of VMs: %w", err)
	}
	var vms []store.VM
	for _, vm := range list.VMs {
		if vm.Role == store.RoleEntry && vm.State == store.StateLive {
			vms = append(vms, vm)
		}
	}
	slices.SortFunc(vms, func(a, b store.VM) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.ID, b.ID))
	})
	return vms, nil
}

// askAll asks all VMs at the same time.
func askAll(ctx context.Context, vms []store.VM) []vmStatus {
	statuses := make([]vmStatus, len(vms))
	var group errgroup.Group
	group.SetLimit(maxAsking)
	for n, vm := range vms {
		group.Go(func() error {
			statuses[n] = ask(ctx, vm)
			return nil
		})
	}
	_ = group.Wait() // no function returns an error
	return statuses
}

func ask(ctx context.Context, vm store.VM) vmStatus {
	status := vmStatus{ID: vm.ID, Zone: vm.Zone, Address: vm.Address}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	full, err := askStatus(ctx, vm.Address)
	if err != nil {
		status.Error = err.Error()
	}
	status.Generation = full.Generation
	status.full = full
	return status
}

func askStatus(ctx context.Context, address string) (entry.Status, error) {
	var status entry.Status
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/status", nil)
	if err != nil {
		return status, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return status, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return status, fmt.Errorf("GET /v1/status answered %s", response.Status)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxStatusSize)).Decode(&status); err != nil {
		return status, fmt.Errorf("GET /v1/status: %w", err)
	}
	return status, nil
}
