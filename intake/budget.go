package intake

import "net/netip"

// Verdict is the decision on the body of a request.
type Verdict uint8

// The verdicts on a body.
const (
	Granted  Verdict = iota + 1
	TooLarge         // it exceeds the limit of one body, so sending it again is of no use
	Short            // the memory is in use by other requests
)

// BudgetConfig configures a Budget.
type BudgetConfig struct {
	Total     int64 // bytes for all clients
	PerClient int64 // bytes for one client address
}

// Budget is the memory for request bodies that are being read. The zero value grants nothing.
type Budget struct {
	config   BudgetConfig
	used     int64
	byClient map[netip.Addr]int64
}

// NewBudget returns a budget of which nothing is reserved.
func NewBudget(config BudgetConfig) *Budget {
	return &Budget{config: config, byClient: map[netip.Addr]int64{}}
}

// Extension asks for more memory for one body.
type Extension struct {
	Client netip.Addr
	Held   int64 // bytes that are reserved for the body already
	Wanted int64 // bytes that are to be reserved for it in all
	Limit  int64 // maximum size of a body
}

// Extend reserves the bytes that a body needs beyond those that it holds, or nothing.
func (b *Budget) Extend(e Extension) Verdict {
	more := e.Wanted - e.Held
	switch {
	case e.Wanted > e.Limit:
		return TooLarge
	case more <= 0:
		return Granted
	case more > b.config.Total-b.used, more > b.config.PerClient-b.byClient[e.Client]:
		return Short
	}
	b.used += more
	b.byClient[e.Client] += more
	return Granted
}

// Release returns reserved bytes.
func (b *Budget) Release(client netip.Addr, bytes int64) {
	b.used -= bytes
	b.byClient[client] -= bytes
	if b.byClient[client] <= 0 {
		delete(b.byClient, client)
	}
}

// Used returns the reserved bytes.
func (b *Budget) Used() int64 { return b.used }
