package standin

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// FaultKind names a way in which an endpoint misbehaves.
type FaultKind string

// The faults of endpoints.
const (
	// FaultFail answers 500 at once.
	FaultFail FaultKind = "fail"
	// FaultReject answers 422 without running the task.
	FaultReject FaultKind = "reject"
	// FaultRefuse answers 503 with Not-Run without running the task.
	FaultRefuse FaultKind = "refuse"
	// FaultSlow multiplies the run time by Factor.
	FaultSlow FaultKind = "slow"
	// FaultCloseBeforeReading closes connections without reading from them.
	FaultCloseBeforeReading FaultKind = "close-before-reading"
	// FaultCloseAfterReading reads the request and closes the connection.
	FaultCloseAfterReading FaultKind = "close-after-reading"
	// FaultReset runs the task and resets the connection in the middle of the answer.
	FaultReset FaultKind = "reset"
	// FaultNoReply takes a slot and never answers.
	FaultNoReply FaultKind = "silent"
	// FaultDelayedReply answers Delay after the end of the run time.
	FaultDelayedReply FaultKind = "late"
	// FaultDuplicateReply sends the answer two times.
	FaultDuplicateReply FaultKind = "twice"
	// FaultSwappedReply answers with the Task-Id of another request.
	FaultSwappedReply FaultKind = "crossed"
	// FaultTruncated sends half the body and closes the connection.
	FaultTruncated FaultKind = "half"
	// FaultGarbage answers with bytes that are not HTTP.
	FaultGarbage FaultKind = "garbage"
)

var faultKinds = []FaultKind{
	FaultFail, FaultReject, FaultRefuse, FaultSlow, FaultCloseBeforeReading, FaultCloseAfterReading, FaultReset,
	FaultNoReply, FaultDelayedReply, FaultDuplicateReply, FaultSwappedReply, FaultTruncated, FaultGarbage,
}

// Fault is a way in which an endpoint misbehaves on a share of its requests.
type Fault struct {
	Kind        FaultKind `json:"kind"`
	Probability float64   `json:"probability,omitempty"` // of each request; 0 means always
	Factor      float64   `json:"factor,omitempty"`      // of slow
	DelayMS     int       `json:"delay-ms,omitempty"`    // of late
	Probes      bool      `json:"probes,omitempty"`      // also affects probes with status 500, no answer or a closed connection
}

// Check returns an error for a fault that can't be carried out.
func (f Fault) Check() error {
	for _, known := range faultKinds {
		if f.Kind == known {
			return f.checkNumbers()
		}
	}
	return fmt.Errorf("unknown fault %q, allowed are %q", f.Kind, faultKinds)
}

func (f Fault) checkNumbers() error {
	if f.Probability < 0 || f.Probability > 1 {
		return fmt.Errorf("fault %q: probability %v is not between 0 and 1", f.Kind, f.Probability)
	}
	if f.Factor < 0 || f.DelayMS < 0 {
		return fmt.Errorf("fault %q: negative factor or delay", f.Kind)
	}
	return nil
}

func (f Fault) delay() time.Duration { return time.Duration(f.DelayMS) * time.Millisecond }

// ParseFault reads the text form of a fault with its endpoint, as in "endpoint-3:slow:factor=4,probability=0.5".
func ParseFault(text string) (id string, fault Fault, err error) {
	parts := strings.SplitN(text, ":", 3)
	if len(parts) < 2 {
		return "", Fault{}, fmt.Errorf("fault %q does not have the form endpoint:kind[:option=value,…]", text)
	}
	fault.Kind = FaultKind(parts[1])
	if len(parts) == 3 {
		for _, option := range strings.Split(parts[2], ",") {
			if err := fault.set(option); err != nil {
				return "", Fault{}, fmt.Errorf("fault %q: %w", text, err)
			}
		}
	}
	return parts[0], fault, fault.Check()
}

func (f *Fault) set(option string) (err error) {
	name, value, _ := strings.Cut(option, "=")
	switch name {
	case "probability":
		f.Probability, err = strconv.ParseFloat(value, 64)
	case "factor":
		f.Factor, err = strconv.ParseFloat(value, 64)
	case "delay-ms":
		f.DelayMS, err = strconv.Atoi(value)
	case "probes":
		f.Probes, err = strconv.ParseBool(value)
	default:
		err = fmt.Errorf("unknown option %q, allowed are probability, factor, delay-ms and probes", name)
	}
	return err
}
