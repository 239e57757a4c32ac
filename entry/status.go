package entry

import (
	"encoding/json"
	"sort"

	"github.com/valyala/fasthttp"

	"samphireplank.example/samphireplank/dispatch"
	"samphireplank.example/samphireplank/store"
)

// Status is the answer of GET /v1/status.
type Status struct {
	VM          string          `json:"vm"`
	Zone        string          `json:"zone"`
	Incarnation uint64          `json:"incarnation"`
	Ready       bool            `json:"ready"`
	Reason      string          `json:"reason,omitempty"` // why the VM is not ready
	Generation  uint64          `json:"generation"`
	Digest      string          `json:"digest"`
	Peers       []store.VM      `json:"peers"` // other entry VMs of the zone that are reachable
	Silent      []string        `json:"silent"`
	Services    []ServiceStatus `json:"services"`
}

// ServiceStatus is the state of one service on an entry VM.
type ServiceStatus struct {
	Service string `json:"service"`
	dispatch.Status
}

// Status returns the present state of the entry VM.
func (e *Server) Status() Status {
	status := Status{
		VM:          e.config.VM,
		Zone:        e.config.Zone,
		Incarnation: e.incarnation,
		Peers:       append([]store.VM{}, e.membership.ReachablePeers()...),
		Silent:      []string{},
		Services:    []ServiceStatus{},
	}
	for _, vm := range e.membership.AllPeers() {
		if !contains(status.Peers, vm.ID) {
			status.Silent = append(status.Silent, vm.ID)
		}
	}
	if err := e.ready(); err != nil {
		status.Reason = err.Error()
	}
	status.Ready = status.Reason == ""
	if f := e.activeConfig.Load(); f != nil {
		status.Generation = f.record.Generation
		status.Digest = string(f.record.Digest)
	}
	for _, s := range e.allCores() {
		s.mu.Lock()
		status.Services = append(status.Services, ServiceStatus{Service: s.service, Status: s.core.Status()})
		s.mu.Unlock()
	}
	sort.Slice(status.Services, func(i, j int) bool { return status.Services[i].Service < status.Services[j].Service })
	return status
}

func contains(vms []store.VM, id string) bool {
	for _, vm := range vms {
		if vm.ID == id {
			return true
		}
	}
	return false
}

func (e *Server) serveStatus(ctx *fasthttp.RequestCtx) {
	body, err := json.Marshal(e.Status())
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
