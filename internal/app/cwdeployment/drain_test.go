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

// TestDrainCutsOffNoRequest drains a host under load: each caller gets its answer, a refusal, or no connection.
func TestDrainCutsOffNoRequest(t *testing.T) {
	is := is.New(t)
	d, stopDeployment := startDeploymentUntil(t)
	const callers, before = 24, 20
	var answered, ended sync.WaitGroup
	answered.Add(callers)
	var mu sync.Mutex
	outcomes := map[string]int{}
	count := func(outcome string) {
		mu.Lock()
		defer mu.Unlock()
		outcomes[outcome]++
	}
	check, stopCheck := cwhttp.NewClient(cwhttp.DefaultClientOptions())
	defer stopCheck()
	_, _, err := check.Do(context.Background(), "GET", d.Entry.Callers, cwfront.PathHealth, nil) // a balancer asks
	is.NoErr(err)
	for range callers {
		ended.Go(func() {
			client, stop := cwhttp.NewClient(cwhttp.DefaultClientOptions())
			defer stop()
			for n := 0; ; n++ {
				if n == before {
					answered.Done()
				}
				_, body, err := client.Do(context.Background(), "POST", d.Entry.Callers, cwfront.PathRequests, []byte(`{"profile":"diagnostics","team":"riders","payload":{"simulate":{"run":"30ms"}}}`))
				if err != nil {
					count(string(cwfault.CodeOf(err)))
					return
				}
				var answer cwcodec.Response
				_ = json.Unmarshal(body, &answer)
				count(answer.Outcome + answer.Reason)
				if answer.Outcome != "done" {
					return
				}
			}
		})
	}
	answered.Wait()
	stopDeployment()
	ended.Wait()
	t.Log(outcomes)
	refused := outcomes["not-runshutting-down"] + outcomes[string(cwfault.Unavailable)] // nothing of these was run
	is.Equal(refused, callers)
	is.Equal(len(outcomes) <= 3, true)
	is.True(outcomes["done"] >= callers*before)
}
