package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"samphireplank.example/samphireplank/worker"
)

// withoutSpec removes the spec of a submission whose VM sends the starts itself.
func (sg *simGroup) withoutSpec(m Submit) Submit {
	if m.Key.Conn != 0 {
		m.DelegatedStarts, m.Work.Spec = true, ""
	}
	return m
}

// sendStart simulates a start that the holder sends, or the VM of a submission, which forwards the response to the
// holder.
func (sg *simGroup) sendStart(p updater, e StartRun) {
	sent, conn := sg.now, e.Sender.Conn
	sg.starts++
	j, _ := sg.jobOf(e.Order.Task)
	if _, naive := p.(*fifoScheduler); !naive && conn == 0 && j != nil && e.Order.Spec != j.work.Spec {
		sg.t.Fatalf("start of %s with the spec %q instead of %q", e.Order.Task, e.Order.Spec, j.work.Spec)
	}
	answer := func(r worker.Report, err error, delegated bool) {
		a := StartResult{Order: e.Order, SentAt: sent, Report: r, Err: err}
		if _, rejected := worker.RejectionReason(err); err != nil && !rejected && delegated {
			a.Spec, a.SpecKnown = j.work.Spec, true
		}
		if conn != 0 && sg.lostConns[conn] && delegated {
			return // the connection is lost, and SenderDisconnected has been sent
		}
		sg.step(p, a)
	}
	if conn != 0 && sg.lostConns[conn] {
		sg.after(0, func() { answer(worker.Report{}, noResponseError{}, false) })
		return
	}
	send := func() {
		if conn != 0 && sg.lostConns[conn] {
			return
		}
		sg.sendOrder(p, e.Order.ID, sg.link.timeout(sg.now, e.Order.Timeout), true,
			func(w *simWorker) (worker.Report, error) { return sg.handleStart(w, e.Order) },
			func(r worker.Report, err error) {
				if conn == 0 {
					answer(r, err, false)
					return
				}
				sg.after(simLatency, func() { answer(r, err, true) })
			})
	}
	if conn == 0 {
		send()
		return
	}
	sg.after(simLatency, send)
}

// loseConn simulates the loss of the connection of a VM that sends starts itself. The VM reconnects under another
// number and resumes its jobs, or it has died and its clients submit them again.
func (h *history) loseConn(conn uint64) {
	if h.lostConns[conn] {
		return
	}
	h.lostConns[conn] = true
	scheduler := h.scheduler
	h.step(scheduler, SenderDisconnected{Conn: conn})
	h.after(350*time.Millisecond, func() { h.step(scheduler, WithdrawConn{Conn: conn}) })
	back := h.rand.IntN(2) == 0
	for _, key := range h.withoutVerdict() {
		if key.Conn != conn {
			continue
		}
		j := h.jobs[key]
		delete(h.jobs, key)
		if back {
			h.after(time.Duration(h.rand.IntN(700))*time.Millisecond, func() { h.resubmitOver(conn+100, j, Progress{}, true) })
			continue
		}
		h.after(1300*time.Millisecond, func() {
			delete(h.started, j.work.ID)
			h.resubmitOver(conn+200, j, Progress{}, false)
		})
	}
}

// Guards against a second run beside a start whose VM is disconnected, against starts without their spec, and against
// jobs that wait for ever for a disconnected VM.
func TestSenderDisconnects(t *testing.T) {
	for seed := range uint64(*seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			h := &history{simGroup: newSimGroup(t, seed, 6), length: 8 * time.Second}
			h.senderConns = 3
			for link := range h.senderConns {
				h.atRandomTime(func() { h.loseConn(1 + link) })
			}
			h.play()
		})
	}
}

// Guards against jobs whose VM cannot reach the workers: the holder sends the starts itself.
func TestHolderSendsStartsAfterUnansweredStart(t *testing.T) {
	is := is.New(t)
	sg := newSimGroup(t, 1, 4)
	sg.senderConns = 1
	sg.run(20 * time.Millisecond)
	for _, w := range sg.workers {
		w.responsesLost = true
	}
	sg.after(70*time.Millisecond, func() {
		for _, w := range sg.workers {
			w.responsesLost = false
		}
	})
	key := sg.submit(quote)
	sg.run(3 * time.Second)
	_, completed := sg.verdicts[key].(Completed)
	is.True(completed)
}
