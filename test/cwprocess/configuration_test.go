package cwprocess_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"currantward/internal/adapter/cwadmin"
	"currantward/internal/adapter/cwcodec"
	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwhttp"
	"currantward/internal/core/cwpolicy"
	"currantward/internal/proof/cwprocess"
	"currantward/internal/standin/cwstore"
)

// configurationState is one state of the configuration: its version, and a team weight that no other write uses.
type configurationState struct {
	version uint64
	weight  float64
}

// operationInput is the input of one operation: a read, or a write that replaces the version which the operator read before.
type operationInput struct {
	isRead      bool
	replacement configurationState // zero for a read
}

// operationOutput is the output of one operation.
type operationOutput struct {
	code     cwfault.Code       // of the error; empty on success
	observed configurationState // by a successful read
}

// configurationModel is the sequential specification against which porcupine checks the history for linearizability.
var configurationModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{configurationState{1, 1}} },
	Step: func(state, input, output any) []any {
		current, in, out := state.(configurationState), input.(operationInput), output.(operationOutput)
		isNext := in.replacement.version == current.version+1
		switch {
		case in.isRead && out.code == "" && out.observed != current:
			return nil
		case in.isRead:
			return []any{current}
		case out.code == "" && isNext:
			return []any{in.replacement}
		case out.code == "":
			return nil
		case out.code == cwfault.Conflict && isNext:
			return nil
		case out.code == cwfault.Conflict || !isNext:
			return []any{current}
		}
		return []any{current, in.replacement} // result unknown: it may or may not have taken effect
	},
}

// operators read and replace the configuration at random hosts and record the history.
type operators struct {
	cluster    *testCluster
	client     *cwhttp.Client
	mu         sync.Mutex
	history    []porcupine.Operation
	lastWeight float64
}

// record makes a call and adds it to the history. A write with an unknown result gets a late return time, since it may still take
// effect.
func (o *operators) record(client int, in operationInput, call func() operationOutput) operationOutput {
	calledAt := o.cluster.timer.Now()
	out := call()
	returnedAt := o.cluster.timer.Now()
	if !in.isRead && out.code != "" && out.code != cwfault.Conflict {
		returnedAt = returnedAt.Add(time.Hour)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.history = append(o.history, porcupine.Operation{ClientId: client, Input: in, Call: calledAt.UnixNano(), Output: out, Return: returnedAt.UnixNano()})
	return out
}

// readAndReplace reads the configuration at one host and replaces it at another, rounds times.
func (o *operators) readAndReplace(ctx context.Context, client, rounds int, r *rand.Rand) {
	for range rounds {
		var document cwcodec.Configuration
		read := o.record(client, operationInput{isRead: true}, func() operationOutput {
			document = cwcodec.Configuration{}
			err := o.client.Call(ctx, fasthttp.MethodGet, o.anyHost(r).OperatorAddr, cwadmin.PathConfiguration, nil, &document)
			if err != nil {
				return operationOutput{code: cwfault.CodeOf(err)}
			}
			return operationOutput{observed: configurationState{document.Version, document.Teams[0].Weight}}
		})
		if read.code != "" {
			continue
		}
		o.mu.Lock()
		o.lastWeight++
		document.Version, document.Teams[0].Weight = document.Version+1, o.lastWeight
		o.mu.Unlock()
		next := configurationState{document.Version, document.Teams[0].Weight}
		o.record(client, operationInput{replacement: next}, func() operationOutput {
			err := o.client.Call(ctx, fasthttp.MethodPut, o.anyHost(r).OperatorAddr, cwadmin.PathConfiguration, document, nil)
			return operationOutput{code: cwfault.CodeOf(err)}
		})
	}
}

func (o *operators) anyHost(r *rand.Rand) *cwprocess.EntryHost {
	return o.cluster.Hosts[r.IntN(len(o.cluster.Hosts))]
}

// TestConcurrentChangesAreLinearizable guards against lost and reordered changes of the configuration. They come about when several
// operators replace it at different hosts while the platform loses responses, so that a host cannot tell whether a write took effect.
// The test also checks that all hosts use the final version.
func TestConcurrentChangesAreLinearizable(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	cluster := newTestCluster(ctx, t, 2)
	client, stop := cwhttp.NewClient(cwhttp.DefaultClientOptions())
	t.Cleanup(stop)
	o := &operators{cluster: cluster, client: client, lastWeight: 1}
	const operatorCount, rounds = 6, 20
	var running sync.WaitGroup
	for n := range operatorCount {
		running.Go(func() { o.readAndReplace(ctx, n, rounds, rand.New(rand.NewPCG(seed, uint64(n)))) })
	}
	for range 5 {
		is.NoErr(cluster.SetFaults(ctx, cwstore.Faults{LostResponses: 3, Delay: cwcodec.Duration(5 * time.Millisecond)}))
		cluster.timer.Sleep(ctx.Done(), 50*time.Millisecond)
	}
	running.Wait()
	is.NoErr(cluster.SetFaults(ctx, cwstore.Faults{}))
	outcomes := map[cwfault.Code]int{}
	for _, operation := range o.history {
		if !operation.Input.(operationInput).isRead {
			outcomes[operation.Output.(operationOutput).code]++
		}
	}
	t.Logf("seed %d: %d operations, changes by error code %v", seed, len(o.history), outcomes)
	is.True(outcomes[""] > 0)               // some changes were accepted
	is.True(outcomes[cwfault.Conflict] > 0) // and some conflicted
	is.Equal(porcupine.CheckOperationsTimeout(configurationModel.ToModel(), o.history, testTimeout), porcupine.Ok)

	var last cwcodec.Configuration
	is.NoErr(client.Call(ctx, fasthttp.MethodGet, cluster.Hosts[0].OperatorAddr, cwadmin.PathConfiguration, nil, &last))
	startedAt := cluster.timer.Now()
	is.NoErr(cluster.AwaitConfiguration(ctx, cwpolicy.Version(last.Version)))
	t.Logf("all hosts used version %d after %v", last.Version, cluster.timer.Now().Sub(startedAt).Round(time.Millisecond))
}
