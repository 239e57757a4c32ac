// Package queue orders the tasks of one service on one entry VM and divides the slots of a zone over its flows.
//
// A flow is a pair of priority and team. Queue performs no I/O, reads no clock and takes no lock:
//
//	q := queue.New(queue.Config{Policy: queue.Fair, Set: set})
//	if err := q.Push(now, queue.Job{ID: id, Flow: flow, Tasks: 3, Deadline: deadline}); err != nil {
//		return err
//	}
//	for task, ok := q.Pop(now); ok; task, ok = q.Pop(now) {
//		// start the task, and call Done(task.Flow) when it has ended
//	}
package queue
