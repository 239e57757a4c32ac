package intake

import "cmp"

const (
	// DefaultMemoryBytes is assumed for a VM whose settings have no memory limit.
	DefaultMemoryBytes = 256 << 20
	// DefaultDescriptors is assumed for a VM whose settings have no descriptor limit; it is the usual limit of a process.
	DefaultDescriptors = 1024
	// DefaultClientShare is the largest share of the connections and of the body budget that one client address may
	// have. A load balancer forwards the connections of many clients from few addresses, so it exceeds one half.
	DefaultClientShare = 0.75
	// ReservedDescriptors are left for files, of the total of descriptors.
	ReservedDescriptors = 200
	// ConnectionBytes is the memory that one connection of a client may use outside the body budget: 17 KiB for the
	// header, 4 KiB for responses, 8 KiB of a body, the goroutine's stack, and the parsed header with up to 128 lines.
	ConnectionBytes = 64 << 10
	// FreeBodyBytes is the size up to which a body is covered by ConnectionBytes and needs no reservation.
	FreeBodyBytes = 8 << 10
)

// Resources are the resources of a VM; zero values stand for the defaults.
type Resources struct {
	MemoryBytes int64
	Descriptors int
	ClientShare float64 // largest share of one client address
}

// Limits are the limits of a VM that follow from its resources.
type Limits struct {
	RuntimeBytes       int64 // memory limit of the Go runtime
	BodyBytes          int64 // memory of all request bodies that are being read
	ClientBodyBytes    int64 // of them, those of one client address
	MessageBytes       int64 // memory of all messages of other VMs that are being read
	Connections        int   // connections of clients
	ClientConnections  int   // of them, those of one client address
	ServiceConnections int   // connections to the readiness check, and as many to the metrics
	PeerConnections    int   // connections that other VMs have opened
}

// Derive returns the limits of a VM. Of its memory, the runtime may use 3/4, since the program's code and the kernel's part
// of the process take 15 to 20 MB more; connections may use a third, and bodies and messages an eighth each. Of the
// descriptors that are not reserved, clients may use one half, other VMs a quarter and the two services an eighth; the rest is for connections
// that the VM opens. Where memory limits the clients, as on the VMs of the deployments, more than a third is left for these.
func Derive(r Resources) Limits {
	memory := cmp.Or(r.MemoryBytes, DefaultMemoryBytes)
	sockets := max(cmp.Or(r.Descriptors, DefaultDescriptors)-ReservedDescriptors, minSockets)
	share := cmp.Or(r.ClientShare, DefaultClientShare)
	l := Limits{
		RuntimeBytes:       memory / 4 * 3,
		BodyBytes:          memory / 8,
		MessageBytes:       memory / 8,
		Connections:        max(min(sockets/2, int(memory/3/ConnectionBytes)), 1),
		ServiceConnections: min(sockets/16, maxServiceConnections),
		PeerConnections:    min(sockets/4, maxPeerConnections),
	}
	l.ClientBodyBytes = int64(float64(l.BodyBytes) * share)
	l.ClientConnections = max(int(float64(l.Connections)*share), 1)
	return l
}

const (
	// minSockets applies to a VM whose descriptor limit leaves less; it cannot serve with fewer.
	minSockets = 64
	// maxServiceConnections is far above the few connections of the platform's checks.
	maxServiceConnections = 64
	// maxPeerConnections exceeds twice the number of VMs for which a deployment is sized, 300, since every VM connects to each
	// holder, and all of them may reconnect before their former connections have timed out.
	maxPeerConnections = 1024
)
