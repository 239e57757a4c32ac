package main

import "time"

const (
	finishTime = 14 * time.Second // bounds.finish_s
	stallTime  = 3 * time.Second  // for which a job may have nothing running
	// rareLabel is the label of the first executor of each zone.
	rareLabel = "b"
)

// atWork returns the number of tasks of a job that run.
func (c *cluster) atWork(id string) int {
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	n := 0
	for _, e := range c.w.executors {
		for task := range e.runs {
			if jobOf(task) == id {
				n++
			}
		}
	}
	return n
}

// executorOf returns the executor on which a task runs.
func (c *cluster) executorOf(task string) *executor {
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	for _, e := range c.w.executors {
		if e.runs[task] != nil {
			return e
		}
	}
	return nil
}

// room returns how many tasks fit into the free capacity of the executors.
func (c *cluster) room(cpu int) int {
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	n := 0
	for _, e := range c.w.executors {
		if !e.up {
			continue
		}
		free := e.cpu
		for _, r := range e.runs {
			free -= r.step.CPU
		}
		n += free / cpu
	}
	return n
}

// startsOf returns the number of starts of a job's tasks.
func (c *cluster) startsOf(id string) int {
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	n := 0
	for task, spans := range c.w.spans {
		if jobOf(task) == id {
			n += len(spans)
		}
	}
	return n
}

// executor returns the executor with an id.
func (c *cluster) executor(id string) *executor {
	for _, e := range c.w.executors {
		if e.id == id {
			return e
		}
	}
	return nil
}
