package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"samphireplank.example/samphireplank/worker"
)

// sent leaves out the spec of a submission whose VM sends the starts itself.
func (f *fleet) sent(m Submit) Submit {
	if m.Key.Conn != 0 {
		m.DelegatedStarts, m.Work.Spec = true, ""
	}
	return m
}

// startBy plays a start: the holder sends it, or the VM of a submission, whose answer takes the way back to the holder.
func (f *fleet) startBy(p stepper, e StartRun) {
	sent, link := f.now, e.Sender.Conn
	f.starts++
	j, _ := f.jobOf(e.Order.Task)
	if _, naive := p.(*naivePool); !naive && link == 0 && j != nil && e.Order.Spec != j.work.Spec {
		f.t.Fatalf("start of %s with the spec %q instead of %q", e.Order.Task, e.Order.Spec, j.work.Spec)
	}
	answer := func(r worker.Report, err error, known bool) {
		a := StartResult{Order: e.Order, SentAt: sent, Report: r, Err: err}
		if _, rejected := worker.RejectionReason(err); err != nil && !rejected && known {
			a.Spec, a.SpecKnown = j.work.Spec, true
		}
		if link != 0 && f.gone[link] && known {
			return // the connection is lost, and SenderDisconnected has been told
		}
		f.step(p, a)
	}
	if link != 0 && f.gone[link] {
		f.after(0, func() { answer(worker.Report{}, openError{}, false) })
		return
	}
	send := func() {
		if link != 0 && f.gone[link] {
			return
		}
		f.call(e.Order.ID, f.link.timeout(f.now, e.Order.Timeout), true,
			func(w *simWorker) (worker.Report, error) { return f.startOn(w, e.Order) },
			func(r worker.Report, err error) {
				if link == 0 {
					answer(r, err, false)
					return
				}
				f.after(simHop, func() { answer(r, err, true) })
			})
	}
	if link == 0 {
		send()
		return
	}
	f.after(simHop, send)
}

// loseLink plays the loss of the connection of a VM that sends starts itself; it comes back under another number and
// resumes its jobs, or it is dead and its clients send them again.
func (h *history) loseLink(link uint64) {
	if h.gone[link] {
		return
	}
	h.gone[link] = true
	pool := h.pool
	h.step(pool, SenderDisconnected{Conn: link})
	h.after(350*time.Millisecond, func() { h.step(pool, WithdrawConn{Conn: link}) })
	back := h.rand.IntN(2) == 0
	for _, key := range h.open() {
		if key.Conn != link {
			continue
		}
		j := h.jobs[key]
		delete(h.jobs, key)
		if back {
			h.after(time.Duration(h.rand.IntN(700))*time.Millisecond, func() { h.resubmitBy(link+100, j, Progress{}, true) })
			continue
		}
		h.after(1300*time.Millisecond, func() {
			delete(h.begun, j.work.ID)
			h.resubmitBy(link+200, j, Progress{}, false)
		})
	}
}

// Guards against a start whose VM is lost and that is carried out beside another one, against starts without their spec, and
// against a job that waits for ever for a lost VM.
func TestSenderIsLost(t *testing.T) {
	for seed := range uint64(*seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			h := &history{fleet: newFleet(t, seed, 6), length: 8 * time.Second}
			h.senders = 3
			for link := range h.senders {
				h.at(func() { h.loseLink(1 + link) })
			}
			h.play()
		})
	}
}

// Guards against jobs whose VM cannot reach the workers: the holder goes on by itself.
func TestHolderGoesOnAfterAnOpenStart(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, 4)
	f.senders = 1
	f.run(20 * time.Millisecond)
	for _, w := range f.workers {
		w.mute = true
	}
	f.after(70*time.Millisecond, func() {
		for _, w := range f.workers {
			w.mute = false
		}
	})
	key := f.submit(quote)
	f.run(3 * time.Second)
	_, completed := f.verdicts[key].(Completed)
	is.True(completed)
}
