package load

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// judge reads the counts of the endpoint stand-ins.
type judge struct {
	addresses []string
	http      *fasthttp.Client
}

// standInCounts are the totals that a stand-in reports.
type standInCounts struct {
	Slots       int              `json:"slots"`
	Starts      uint64           `json:"starts"`
	Refusals    uint64           `json:"refusals"`
	Rejects     uint64           `json:"rejects"`
	Probes      uint64           `json:"probes"`
	MostRunning int              `json:"most-running"`
	BusySeconds float64          `json:"busy-seconds"`
	Endpoints   []EndpointStarts `json:"endpoints"`
}

// extremes returns the endpoints with the fewest and the most starts.
func (c standInCounts) extremes() (least, most EndpointStarts) {
	for i, e := range c.Endpoints {
		if i == 0 || e.Starts < least.Starts {
			least = e
		}
		if i == 0 || e.Starts > most.Starts {
			most = e
		}
	}
	return least, most
}

// taskLine is what the stand-ins counted for one Task-Id.
type taskLine struct {
	starts, answers, refusals, rejects int
	busy                               time.Duration
}

func newJudge(addresses []string) *judge {
	j := &judge{http: &fasthttp.Client{ReadTimeout: 30 * time.Second, MaxResponseBodySize: 1 << 30}}
	for _, address := range addresses {
		j.addresses = append(j.addresses, "http://"+strings.TrimSuffix(strings.TrimPrefix(address, "http://"), "/"))
	}
	return j
}

func (j *judge) call(method, url string) ([]byte, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI(url)
	if err := j.http.Do(request, response); err != nil {
		return nil, fmt.Errorf("ask endpoint stand-in %s: %w", url, err)
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return nil, fmt.Errorf("ask endpoint stand-in %s: status %d", url, response.StatusCode())
	}
	return bytes.Clone(response.Body()), nil
}

func (j *judge) reset() error {
	for _, address := range j.addresses {
		if _, err := j.call(fasthttp.MethodPost, address+"/admin/reset"); err != nil {
			return err
		}
	}
	return nil
}

// counts returns the sum of the totals of all stand-ins.
func (j *judge) counts() (standInCounts, error) {
	var total standInCounts
	for _, address := range j.addresses {
		data, err := j.call(fasthttp.MethodGet, address+"/admin/counts")
		if err != nil {
			return total, err
		}
		var one standInCounts
		if err := json.Unmarshal(data, &one); err != nil {
			return total, fmt.Errorf("counts of endpoint stand-in %s: %w", address, err)
		}
		total.Slots += one.Slots
		total.Starts += one.Starts
		total.Refusals += one.Refusals
		total.Rejects += one.Rejects
		total.Probes += one.Probes
		total.MostRunning = max(total.MostRunning, one.MostRunning)
		total.BusySeconds += one.BusySeconds
		total.Endpoints = append(total.Endpoints, one.Endpoints...)
	}
	return total, nil
}

// sample returns the totals with their time; totals that can't be had are zero.
func (j *judge) sample() (standInCounts, time.Time) {
	now := time.Now()
	counts, err := j.counts()
	if err != nil {
		return standInCounts{}, now
	}
	return counts, now
}

// tasks returns what all stand-ins together counted for each Task-Id.
func (j *judge) tasks() (map[string]taskLine, error) {
	tasks := map[string]taskLine{}
	for _, address := range j.addresses {
		data, err := j.call(fasthttp.MethodGet, address+"/admin/tasks")
		if err != nil {
			return nil, err
		}
		if err := addTasks(tasks, data); err != nil {
			return nil, fmt.Errorf("tasks of endpoint stand-in %s: %w", address, err)
		}
	}
	return tasks, nil
}

func addTasks(tasks map[string]taskLine, data []byte) error {
	scanner := bufio.NewScanner(bytes.NewReader(data))
	for scanner.Scan() {
		id, line, err := parseTask(scanner.Text())
		if err != nil {
			return err
		}
		sum := tasks[id]
		sum.starts += line.starts
		sum.answers += line.answers
		sum.refusals += line.refusals
		sum.rejects += line.rejects
		sum.busy += line.busy
		tasks[id] = sum
	}
	return scanner.Err()
}

func parseTask(text string) (string, taskLine, error) {
	fields := strings.Fields(text)
	if len(fields) != 6 {
		return "", taskLine{}, fmt.Errorf("line %q does not have 6 fields", text)
	}
	var numbers [5]int
	for i := range numbers {
		n, err := strconv.Atoi(fields[i+1])
		if err != nil {
			return "", taskLine{}, fmt.Errorf("line %q: %w", text, err)
		}
		numbers[i] = n
	}
	line := taskLine{starts: numbers[0], answers: numbers[1], refusals: numbers[2], rejects: numbers[3]}
	line.busy = time.Duration(numbers[4]) * time.Microsecond
	return fields[0], line, nil
}
