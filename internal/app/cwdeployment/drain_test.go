package cwdeployment_test

import (
	"context"
	"encoding/json"
	"sync"
	"testing"

	"github.com/matryer/is"

	"currantward/internal/adapter/cwcodec"
	"currantward/internal/adapter/cwfront"
	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwhttp"
)

// TestDrainInterruptsNoRequest drains a host under load. A drain that closed connections too early would lose responses of
// requests that were run: each caller must get its response, a refusal, or no connection.
func TestDrainInterruptsNoRequest(t *testing.T) {
	is := is.New(t)
	d, stopDeployment := startStoppableDeployment(t)
	const callers, requestsBeforeDrain = 24, 20
	var warmedUp, ended sync.WaitGroup
	warmedUp.Add(callers)
	var mu sync.Mutex
	outcomes := map[string]int{}
	count := func(outcome string) {
		mu.Lock()
		defer mu.Unlock()
		outcomes[outcome]++
	}
	healthClient, stopHealthClient := cwhttp.NewClient(cwhttp.DefaultClientOptions())
	defer stopHealthClient()
	_, _, err := healthClient.Do(context.Background(), "GET", d.EntryHost.CallersAddr, cwfront.PathHealth, nil) // health check of a load balancer
	is.NoErr(err)
	for range callers {
		ended.Go(func() {
			client, stop := cwhttp.NewClient(cwhttp.DefaultClientOptions())
			defer stop()
			for n := 0; ; n++ {
				if n == requestsBeforeDrain {
					warmedUp.Done()
				}
				_, body, err := client.Do(context.Background(), "POST", d.EntryHost.CallersAddr, cwfront.PathRequests, []byte(`{"profile":"diagnostics","team":"riders","payload":{"simulate":{"run":"30ms"}}}`))
				if err != nil {
					count(string(cwfault.CodeOf(err)))
					return
				}
				var response cwcodec.Response
				_ = json.Unmarshal(body, &response)
				count(response.Outcome + response.Reason)
				if response.Outcome != "done" {
					return
				}
			}
		})
	}
	warmedUp.Wait()
	stopDeployment()
	ended.Wait()
	t.Log(outcomes)
	refused := outcomes["not-runshutting-down"] + outcomes[string(cwfault.Unavailable)] // none of these requests was run
	is.Equal(refused, callers)
	is.Equal(len(outcomes) <= 3, true)
	is.True(outcomes["done"] >= callers*requestsBeforeDrain)
}
