package standin

import (
	"fmt"
	"strings"
	"time"
)

// Route is a route of the configuration that PutConfig writes.
type Route struct {
	Name     string
	Host     string
	Prefix   string
	Service  string
	Attempts int
	Target   time.Duration
}

// PutConfig writes a configuration as the operators do.
func (k *KVStore) PutConfig(version int, routes []Route) error {
	list := make([]map[string]any, 0, len(routes))
	for _, r := range routes {
		list = append(list, map[string]any{
			"name": r.Name, "host": r.Host, "prefix": r.Prefix, "kind": "unsafe", "service": r.Service, "priority": 0,
			"max_attempts": r.Attempts, "stretch": 1.6, "target_duration_ms": r.Target.Milliseconds(), "timeout_ms": 4000,
		})
	}
	_, err := k.Put("op/config", map[string]any{"version": version, "routes": list})
	return err
}

// RegisterWorker writes the entry of a worker in a state, ready or draining, as it does itself.
func (k *KVStore) RegisterWorker(w *Worker, state string, sequence int) error {
	_, err := k.Put("servers/"+w.config.ID, w.Registration(state, sequence))
	return err
}

// DeregisterWorker removes the entry of a worker, as the platform does when it is silent.
func (k *KVStore) DeregisterWorker(w *Worker) { k.Delete("servers/" + w.config.ID) }

// VMSettings holds what a settings file says of a VM.
type VMSettings struct {
	VM           string
	Host         string
	Zone         string
	StoreAddress string // host:port
	Seed         string // host
	MaxLease     time.Duration
	GracePeriod  time.Duration
	CPUShare     float64 // of a processor
	LinkMbps     float64 // bandwidth of the VM's link in megabits a second, 0 if unknown
	MemoryMB     int     // memory limit of the VM, 0 if unknown
	MaxFDs       int     // limit of open file descriptors, 0 if unknown
}

// Encode returns the settings file.
func (b VMSettings) Encode() string {
	link := "" // unknown
	if b.LinkMbps > 0 {
		link = fmt.Sprintf("limits.link_mbps=%g", b.LinkMbps)
	}
	memory, descriptors := "", ""
	if b.MemoryMB > 0 {
		memory = fmt.Sprintf("limits.memory_mb=%d", b.MemoryMB)
	}
	if b.MaxFDs > 0 {
		descriptors = fmt.Sprintf("limits.max_fds=%d", b.MaxFDs)
	}
	return strings.Join([]string{
		"node_name=" + b.VM, "ip=" + b.Host, "zone=" + b.Zone, "listen.front=" + b.Host + ":8161", "listen.ready=" + b.Host + ":8167",
		"internal_port_range=7720,7735", "platform.address=" + b.StoreAddress, fmt.Sprintf("limits.cpu_share=%g", b.CPUShare), "seeds=" + b.Seed + ":8166",
		fmt.Sprintf("bounds.hold_max_ms=%d", b.MaxLease.Milliseconds()), fmt.Sprintf("bounds.grace_s=%g", b.GracePeriod.Seconds()), link, memory, descriptors, "",
	}, "\n")
}
