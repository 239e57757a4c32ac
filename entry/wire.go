package entry

import (
	"fmt"
	"time"

	"samphireplank.example/samphireplank/contract"
	"samphireplank.example/samphireplank/dispatch"
	"samphireplank.example/samphireplank/endpoint"
	"samphireplank.example/samphireplank/job"
	"samphireplank.example/samphireplank/link/linkpb"
	"samphireplank.example/samphireplank/queue"
	"samphireplank.example/samphireplank/slot"
	"samphireplank.example/samphireplank/store"
)

// flowIndex maps the flows of a set to the numbers used on the link.
type flowIndex struct {
	generation uint64
	priorities []string
	teams      []string
	priority   map[string]int
	team       map[string]int
}

func newFlowIndex(generation uint64, set *contract.Set) *flowIndex {
	x := &flowIndex{generation: generation, priority: make(map[string]int), team: make(map[string]int)}
	for i, p := range set.Priorities {
		x.priorities = append(x.priorities, p.Name)
		x.priority[p.Name] = i
	}
	for i, t := range set.Teams {
		x.teams = append(x.teams, t.Name)
		x.team[t.Name] = i
	}
	return x
}

// number returns the number of a flow; it returns false for flows of other sets.
func (x *flowIndex) number(flow queue.Flow) (uint32, bool) {
	p, ok := x.priority[flow.Priority]
	if !ok {
		return 0, false
	}
	t, ok := x.team[flow.Team]
	return uint32(p*len(x.teams) + t), ok
}

// flow returns the flow of a number.
func (x *flowIndex) flow(number uint32) (queue.Flow, bool) {
	if len(x.teams) == 0 || int(number) >= len(x.priorities)*len(x.teams) {
		return queue.Flow{}, false
	}
	return queue.Flow{Priority: x.priorities[int(number)/len(x.teams)], Team: x.teams[int(number)%len(x.teams)]}, true
}

// appendBody adds a message of a core to the batch of its service; a later demand report replaces an earlier one.
func appendBody(batch *linkpb.ServiceBatch, body dispatch.PeerPayload, index *flowIndex) {
	switch body := body.(type) {
	case dispatch.SlotMessage:
		batch.Slots = append(batch.Slots, slotMessage(body.Message))
	case dispatch.DemandReport:
		batch.Demand = demandMessage(body.Demands, index)
	case dispatch.EjectionReport:
		batch.Ejections = ejectionMessages(body.Ejections)
	}
}

// parseBodies returns the messages in the batch of a service: slot messages in the order sent, demand, ejections.
func parseBodies(batch *linkpb.ServiceBatch, index *flowIndex) []dispatch.PeerPayload {
	var out []dispatch.PeerPayload
	for _, m := range batch.Slots {
		if parsed := parseSlotMessage(m); parsed != nil {
			out = append(out, dispatch.SlotMessage{Message: parsed})
		}
	}
	if demands, ok := parseDemand(batch.Demand, index); ok {
		out = append(out, dispatch.DemandReport{Demands: demands})
	}
	if len(batch.Ejections) > 0 {
		out = append(out, dispatch.EjectionReport{Ejections: parseEjections(batch.Ejections)})
	}
	return out
}

func demandMessage(demands []queue.Demand, index *flowIndex) *linkpb.Demand {
	m := &linkpb.Demand{Generation: index.generation}
	for _, d := range demands {
		if number, ok := index.number(d.Flow); ok {
			m.Flows = append(m.Flows, number)
			m.Queued = append(m.Queued, uint32(d.Queued))
			m.Running = append(m.Running, uint32(d.Running))
		}
	}
	return m
}

// parseDemand returns false for demand that is numbered by another generation; the next report after the change counts.
func parseDemand(m *linkpb.Demand, index *flowIndex) ([]queue.Demand, bool) {
	if m == nil || m.Generation != index.generation || len(m.Queued) != len(m.Flows) || len(m.Running) != len(m.Flows) {
		return nil, false
	}
	demands := make([]queue.Demand, 0, len(m.Flows))
	for i, number := range m.Flows {
		if flow, ok := index.flow(number); ok {
			demands = append(demands, queue.Demand{Flow: flow, Queued: int(m.Queued[i]), Running: int(m.Running[i])})
		}
	}
	return demands, true
}

func ejectionMessages(ejections []endpoint.HealthReport) []*linkpb.Ejection {
	out := make([]*linkpb.Ejection, 0, len(ejections))
	for _, e := range ejections {
		out = append(out, &linkpb.Ejection{
			Endpoint:         e.Endpoint,
			Incarnation:      e.Incarnation,
			Phase:            uint32(e.Phase),
			Level:            uint32(e.Level),
			AgeMilliseconds:  uint64(e.Age.Milliseconds()),
			LeftMilliseconds: uint64(e.Remaining.Milliseconds()),
		})
	}
	return out
}

// maxReportedMilliseconds limits the age and the remaining time of an ejection in the report of a peer.
const maxReportedMilliseconds = uint64(time.Hour / time.Millisecond)

func parseEjections(messages []*linkpb.Ejection) []endpoint.HealthReport {
	out := make([]endpoint.HealthReport, 0, len(messages))
	for _, m := range messages {
		out = append(out, endpoint.HealthReport{
			Endpoint:    m.Endpoint,
			Incarnation: m.Incarnation,
			Phase:       endpoint.ReportedPhase(m.Phase),
			Level:       int(min(m.Level, 64)),
			Age:         time.Duration(min(m.AgeMilliseconds, maxReportedMilliseconds)) * time.Millisecond,
			Remaining:   time.Duration(min(m.LeftMilliseconds, maxReportedMilliseconds)) * time.Millisecond,
		})
	}
	return out
}

func slotMessage(m slot.PeerMessage) *linkpb.SlotMessage {
	switch m := m.(type) {
	case slot.Want:
		return &linkpb.SlotMessage{Body: &linkpb.SlotMessage_Want{Want: &linkpb.Want{Sent: m.Sent, Count: uint32(m.Count)}}}
	case slot.Lend:
		lend := &linkpb.Lend{Epoch: m.Epoch, Wanted: m.Wanted, First: m.First, Idle: uint32(m.Idle)}
		for _, g := range m.Groups {
			lend.Groups = append(lend.Groups, &linkpb.Group{Endpoint: g.Endpoint, Count: uint32(g.Count)})
		}
		return &linkpb.SlotMessage{Body: &linkpb.SlotMessage_Lend{Lend: lend}}
	case slot.Renew:
		return &linkpb.SlotMessage{Body: &linkpb.SlotMessage_Renew{Renew: &linkpb.Renew{
			Epoch: m.Epoch, Sent: m.Sent, Through: m.Through, Held: uint32(m.Held), Sum: m.Sum,
		}}}
	case slot.Renewed:
		return &linkpb.SlotMessage{Body: &linkpb.SlotMessage_Renewed{Renewed: &linkpb.Renewed{
			Epoch: m.Epoch, Sent: m.Sent, Through: m.Through, Audit: m.Audit,
		}}}
	case slot.Holdings:
		return &linkpb.SlotMessage{Body: &linkpb.SlotMessage_Holdings{Holdings: &linkpb.Holdings{
			Epoch: m.Epoch, Through: m.Through, Ranges: rangeMessages(m.Ranges),
		}}}
	case slot.Return:
		return &linkpb.SlotMessage{Body: &linkpb.SlotMessage_Return{Return: &linkpb.Return{
			Epoch: m.Epoch, Ranges: rangeMessages(m.Ranges),
		}}}
	case slot.Recall:
		return &linkpb.SlotMessage{Body: &linkpb.SlotMessage_Recall{Recall: &linkpb.Recall{
			Epoch: m.Epoch, Through: m.Through, Keep: uint32(m.Keep),
		}}}
	case slot.Handover:
		return &linkpb.SlotMessage{Body: &linkpb.SlotMessage_Handover{Handover: handoverMessage(m)}}
	case slot.Resume:
		return &linkpb.SlotMessage{Body: &linkpb.SlotMessage_Resume{Resume: &linkpb.Resume{Sent: m.Sent}}}
	case slot.Resumed:
		return &linkpb.SlotMessage{Body: &linkpb.SlotMessage_Resumed{Resumed: &linkpb.Resumed{Sent: m.Sent, Clear: m.Clear}}}
	default:
		panic(fmt.Sprintf("slot message %T has no wire form", m))
	}
}

func handoverMessage(m slot.Handover) *linkpb.Handover {
	out := &linkpb.Handover{Sent: m.Sent}
	for _, item := range m.Items {
		out.Items = append(out.Items, &linkpb.Occupied{
			Endpoint: item.Endpoint, Count: uint32(item.Count), Release: item.Release,
		})
	}
	return out
}

func rangeMessages(ranges []slot.Range) []*linkpb.Range {
	out := make([]*linkpb.Range, 0, len(ranges))
	for _, r := range ranges {
		out = append(out, &linkpb.Range{First: r.First, Count: r.Count})
	}
	return out
}

// parseSlotMessage returns nil for a message type that this version does not know.
func parseSlotMessage(m *linkpb.SlotMessage) slot.PeerMessage {
	switch body := m.Body.(type) {
	case *linkpb.SlotMessage_Want:
		return slot.Want{Sent: body.Want.Sent, Count: int(body.Want.Count)}
	case *linkpb.SlotMessage_Lend:
		return parseLend(body.Lend)
	case *linkpb.SlotMessage_Renew:
		r := body.Renew
		return slot.Renew{Epoch: r.Epoch, Sent: r.Sent, Through: r.Through, Held: int(r.Held), Sum: r.Sum}
	case *linkpb.SlotMessage_Renewed:
		r := body.Renewed
		return slot.Renewed{Epoch: r.Epoch, Sent: r.Sent, Through: r.Through, Audit: r.Audit}
	case *linkpb.SlotMessage_Holdings:
		h := body.Holdings
		return slot.Holdings{Epoch: h.Epoch, Through: h.Through, Ranges: parseRanges(h.Ranges)}
	case *linkpb.SlotMessage_Return:
		return slot.Return{Epoch: body.Return.Epoch, Ranges: parseRanges(body.Return.Ranges)}
	case *linkpb.SlotMessage_Recall:
		return slot.Recall{Epoch: body.Recall.Epoch, Through: body.Recall.Through, Keep: int(body.Recall.Keep)}
	case *linkpb.SlotMessage_Handover:
		return parseHandover(body.Handover)
	case *linkpb.SlotMessage_Resume:
		return slot.Resume{Sent: body.Resume.Sent}
	case *linkpb.SlotMessage_Resumed:
		return slot.Resumed{Sent: body.Resumed.Sent, Clear: body.Resumed.Clear}
	default:
		return nil
	}
}

func parseLend(m *linkpb.Lend) slot.Lend {
	lend := slot.Lend{Epoch: m.Epoch, Wanted: m.Wanted, First: m.First, Idle: int(m.Idle)}
	for _, g := range m.Groups {
		lend.Groups = append(lend.Groups, slot.Group{Endpoint: g.Endpoint, Count: int(g.Count)})
	}
	return lend
}

func parseHandover(m *linkpb.Handover) slot.Handover {
	handover := slot.Handover{Sent: m.Sent}
	for _, item := range m.Items {
		handover.Items = append(handover.Items, slot.Occupied{
			Endpoint: item.Endpoint, Count: int(item.Count), Release: item.Release,
		})
	}
	return handover
}

func parseRanges(messages []*linkpb.Range) []slot.Range {
	out := make([]slot.Range, 0, len(messages))
	for _, m := range messages {
		out = append(out, slot.Range{First: m.First, Count: m.Count})
	}
	return out
}

func vmMessage(vm store.VM) *linkpb.VM {
	return &linkpb.VM{
		Id: vm.ID, Zone: vm.Zone, Role: string(vm.Role), Service: vm.Service, Address: vm.Address,
		LinkAddress: vm.LinkAddress, Incarnation: vm.Incarnation, State: string(vm.State),
	}
}

func vmMessages(vms []store.VM) []*linkpb.VM {
	out := make([]*linkpb.VM, 0, len(vms))
	for _, vm := range vms {
		out = append(out, vmMessage(vm))
	}
	return out
}

func parseVMs(messages []*linkpb.VM) []store.VM {
	out := make([]store.VM, 0, len(messages))
	for _, m := range messages {
		out = append(out, store.VM{
			ID: m.Id, Zone: m.Zone, Role: store.Role(m.Role), Service: m.Service, Address: m.Address,
			LinkAddress: m.LinkAddress, Incarnation: m.Incarnation, State: store.State(m.State),
		})
	}
	return out
}

func submissionMessage(rec *jobRecord) *linkpb.Submission {
	s := &rec.submission
	return &linkpb.Submission{
		Id: s.ID.String(), Kind: s.Kind, Team: s.Team, ContentType: s.ContentType, Bodies: rec.allBodies(),
		RemainingMicroseconds: uint64(max(time.Until(s.Deadline), time.Microsecond).Microseconds()),
	}
}

func parseSubmission(m *linkpb.Submission) (job.Submission, error) {
	if m == nil {
		return job.Submission{}, fmt.Errorf("the request has no submission")
	}
	id, err := job.ParseID(m.Id)
	if err != nil {
		return job.Submission{}, err
	}
	s := job.Submission{ID: id, Kind: m.Kind, Team: m.Team, ContentType: m.ContentType, Bodies: m.Bodies}
	const longest = uint64(time.Hour / time.Microsecond)
	if m.RemainingMicroseconds > 0 {
		s.Deadline = time.Now().Add(time.Duration(min(m.RemainingMicroseconds, longest)) * time.Microsecond)
	}
	return s, nil
}

func answerMessage(answer job.Answer) *linkpb.Answer {
	m := &linkpb.Answer{
		Id: answer.ID.String(), Outcome: answer.Outcome.String(), Reason: answer.Reason,
		RetryAfterMilliseconds: uint64(answer.RetryAfter.Milliseconds()),
	}
	for _, r := range answer.Results {
		m.Results = append(m.Results, &linkpb.Result{Status: uint32(r.Status), ContentType: r.ContentType, Body: r.Body})
	}
	return m
}

func parseAnswer(m *linkpb.Answer) (job.Answer, error) {
	id, err := job.ParseID(m.Id)
	if err != nil {
		return job.Answer{}, err
	}
	outcome, err := job.ParseOutcome(m.Outcome)
	if err != nil {
		return job.Answer{}, err
	}
	const longest = uint64(time.Hour / time.Millisecond)
	answer := job.Answer{
		ID: id, Outcome: outcome, Reason: m.Reason,
		RetryAfter: time.Duration(min(m.RetryAfterMilliseconds, longest)) * time.Millisecond,
	}
	for _, r := range m.Results {
		answer.Results = append(answer.Results, job.Result{Status: int(r.Status), ContentType: r.ContentType, Body: r.Body})
	}
	return answer, nil
}
