package entry

import (
	"context"
	"strconv"
	"time"

	"samphireplank.example/samphireplank/dispatch"
	"samphireplank.example/samphireplank/endpoint"
	"samphireplank.example/samphireplank/job"
)

const probeTimeout = time.Second

// send sends one task to its endpoint and reports the result to the core.
func (e *Server) send(s *serviceCore, start dispatch.StartTask) {
	finished := dispatch.TaskFinished{
		Job:      start.Job,
		Task:     start.Task,
		Endpoint: start.Endpoint,
		Slot:     start.Slot,
		Result:   endpoint.NotSent,
	}
	rec, ok := e.runningJob(start.Job)
	if !ok || start.Timeout <= 0 {
		e.update(s, finished)
		return
	}
	response := e.endpointClient.Send(e.ctx, e.request(s, start, rec))
	if response.Result == endpoint.Succeeded {
		rec.setResult(start.Task, job.Result{Status: response.Status, ContentType: response.ContentType, Body: response.Body})
	}
	e.logSend(start, response)
	e.metrics.taskEnded(rec, response)
	finished.Result = response.Result
	finished.RunTime = response.RunTime
	e.update(s, finished)
}

// request builds the HTTP request of a task.
func (e *Server) request(s *serviceCore, start dispatch.StartTask, rec *jobRecord) endpoint.Request {
	r := endpoint.Request{
		Address:     start.Address,
		Path:        start.Path,
		TaskID:      start.Job.String() + "/" + strconv.Itoa(start.Task),
		Attempt:     start.Attempt,
		ContentType: rec.contentType(),
		Body:        rec.body(start.Task),
		Timeout:     start.Timeout,
	}
	if f := e.activeConfig.Load(); f != nil {
		service := f.services[s.service]
		r.MaxConnections = max(service.MaxConnections/max(len(e.membership.LiveEntryVMs()), 1), 1)
		r.IdleTimeout = service.IdleTimeout
	}
	return r
}

func (e *Server) logSend(start dispatch.StartTask, response endpoint.Response) {
	if response.Result == endpoint.Succeeded {
		return
	}
	e.config.Log.Debug().Str("event", "task-not-succeeded").Str("job", start.Job.String()).Int("task", start.Task).
		Str("endpoint", start.Endpoint).Str("result", response.Result.String()).Int("status", response.Status).
		AnErr("cause", response.Err).Msg("task did not succeed")
}

// probe sends a health probe to an endpoint and reports the result to the core.
func (e *Server) probe(s *serviceCore, probe dispatch.Probe) {
	ctx, cancel := context.WithTimeout(e.ctx, probeTimeout)
	defer cancel()
	e.metrics.probes.Inc()
	healthy := e.endpointClient.Probe(ctx, probe.Address, probe.Path)
	e.update(s, dispatch.ProbeFinished{Endpoint: probe.Endpoint, Healthy: healthy})
}
