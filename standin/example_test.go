package standin_test

import (
	"fmt"
	"net/http"
	"strings"

	"samphireplank.example/samphireplank/standin"
	"samphireplank.example/samphireplank/store"
)

// A platform and an endpoint in one process; the endpoint refuses all tasks as a full guard does.
func Example() {
	p := standin.NewPlatform(standin.PlatformConfig{})
	if err := p.Start(); err != nil {
		panic(err)
	}
	defer func() { _ = p.Close() }()
	fleet := standin.NewFleet(standin.FleetConfig{Endpoints: []standin.EndpointConfig{{
		ID: "endpoint-1", Zone: "zone-a", Service: "cue", Registrar: p.FaultFreeStore(),
		Faults: []standin.Fault{{Kind: standin.FaultRefuse}},
	}}})
	if err := fleet.Start(); err != nil {
		panic(err)
	}
	defer func() { _ = fleet.Close() }()

	address := fleet.Endpoints()[0].VM().Address
	request, _ := http.NewRequest(http.MethodPost, "http://"+address+"/run", strings.NewReader(`{"run-ms":50}`))
	request.Header.Set("Task-Id", "job/0")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		panic(err)
	}
	_ = response.Body.Close()
	fmt.Println(response.StatusCode, response.Header.Get("Not-Run"))
	fmt.Println(fleet.TaskCounter().Task("job/0").Refusals, fleet.Endpoints()[0].VM().State == store.StateLive)
	// Output:
	// 503 true
	// 1 true
}
