package load

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Tickets are asked for in batches before they are needed, so that submissions under a ticket don't wait for one.
const (
	ticketBatch    = 1000 // the most that one request may ask for
	ticketLowWater = 500
	ticketTimeout  = 2 * time.Second
)

// tickets is a stock of job ids of one entry VM.
type tickets struct {
	client *fasthttp.HostClient

	mu     sync.Mutex
	ids    []string
	asking bool
}

// take returns an id and whether the stock should be filled.
func (t *tickets) take() (id string, fill bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if n := len(t.ids); n > 0 {
		id, t.ids = t.ids[n-1], t.ids[:n-1]
	}
	fill = len(t.ids) < ticketLowWater && !t.asking
	t.asking = t.asking || fill
	return id, fill
}

// fill asks for a batch of ids.
func (t *tickets) fill() error {
	ids, err := requestTickets(t.client)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.asking = false
	t.ids = append(t.ids, ids...)
	return err
}

// drop forgets the ids of an entry VM that may have been replaced.
func (t *tickets) drop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ids = nil
}

func requestTickets(client *fasthttp.HostClient) ([]string, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + client.Addr + "/v1/tickets")
	request.Header.SetContentType("application/json")
	request.SetBodyString(fmt.Sprintf(`{"count":%d}`, ticketBatch))
	if err := client.DoTimeout(request, response, ticketTimeout); err != nil {
		return nil, fmt.Errorf("ask %s for tickets: %w", client.Addr, err)
	}
	var got struct {
		IDs []string `json:"ids"`
	}
	if err := json.Unmarshal(response.Body(), &got); err != nil || len(got.IDs) == 0 {
		return nil, fmt.Errorf("ask %s for tickets: status %d: %s", client.Addr, response.StatusCode(), excerpt(response.Body()))
	}
	return got.IDs, nil
}

// prepare fills the stocks if the profile needs tickets.
func (r *runner) prepare() error {
	p := r.profile
	if p.Cancel.Fraction == 0 && p.Resubmit.Fraction == 0 && len(p.CancelWaves) == 0 && !r.balance.enabled {
		return nil
	}
	for i, t := range r.tickets {
		err := t.fill()
		if err != nil && !r.balance.enabled {
			return err
		}
		r.balance.ready[i].Store(err == nil)
	}
	return nil
}

// ticket returns an id of an entry VM, or none when the VM gave none in time.
func (r *runner) ticket(target int) string {
	stock := r.tickets[target]
	id, fill := stock.take()
	if fill {
		r.group.Go(func() error {
			// A failure shows as jobs without a ticket.
			_ = stock.fill()
			return nil
		})
	}
	return id
}
