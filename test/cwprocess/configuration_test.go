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

// configuration is one state of the history: a version and the weight that marks who wrote it.
type configuration struct {
	version uint64
	mark    float64
}

// change is the input of one operation: a read, or a replacement of the version that its operator saw.
type change struct {
	isRead bool
	next   configuration
}

// result is the output of one operation.
type result struct {
	code cwfault.Code
	seen configuration
}

// historyModel says which histories of the configuration are linearizable.
var historyModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{configuration{1, 1}} },
	Step: func(state, input, output any) []any {
		present, in, out := state.(configuration), input.(change), output.(result)
		isNext := in.next.version == present.version+1
		switch {
		case in.isRead && out.code == "" && out.seen != present:
			return nil
		case in.isRead:
			return []any{present}
		case out.code == "" && isNext:
			return []any{in.next}
		case out.code == "":
			return nil
		case out.code == cwfault.Conflict && isNext:
			return nil
		case out.code == cwfault.Conflict || !isNext:
			return []any{present}
		}
		return []any{present, in.next} // not known: either may hold
	},
}

// operators change the configuration at random hosts and keep the history.
type operators struct {
	bench   *bench
	client  *cwhttp.Client
	mu      sync.Mutex
	history []porcupine.Operation
	marks   float64
}

func (o *operators) record(client int, in change, call func() result) result {
	began := o.bench.timer.Now()
	out := call()
	ended := o.bench.timer.Now()
	if !in.isRead && out.code != "" && out.code != cwfault.Conflict {
		ended = ended.Add(time.Hour) // it may still take effect
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.history = append(o.history, porcupine.Operation{ClientId: client, Input: in, Call: began.UnixNano(), Output: out, Return: ended.UnixNano()})
	return out
}

// race reads and replaces the configuration a number of times.
func (o *operators) race(ctx context.Context, client, rounds int, r *rand.Rand) {
	for range rounds {
		var document cwcodec.Configuration
		read := o.record(client, change{isRead: true}, func() result {
			document = cwcodec.Configuration{}
			err := o.client.Call(ctx, fasthttp.MethodGet, o.anyHost(r).Operators, cwadmin.PathConfiguration, nil, &document)
			if err != nil {
				return result{code: cwfault.CodeOf(err)}
			}
			return result{seen: configuration{document.Version, document.Teams[0].Weight}}
		})
		if read.code != "" {
			continue
		}
		o.mu.Lock()
		o.marks++
		document.Version, document.Teams[0].Weight = document.Version+1, o.marks
		o.mu.Unlock()
		next := configuration{document.Version, document.Teams[0].Weight}
		o.record(client, change{next: next}, func() result {
			err := o.client.Call(ctx, fasthttp.MethodPut, o.anyHost(r).Operators, cwadmin.PathConfiguration, document, nil)
			return result{code: cwfault.CodeOf(err)}
		})
	}
}

func (o *operators) anyHost(r *rand.Rand) *cwprocess.EntryHost {
	return o.bench.Hosts[r.IntN(len(o.bench.Hosts))]
}

func TestRacingOperatorsSeeOneHistory(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	b := newBench(ctx, t, 2)
	client, stop := cwhttp.NewClient(cwhttp.DefaultClientOptions())
	t.Cleanup(stop)
	o := &operators{bench: b, client: client, marks: 1}
	const racers, rounds = 6, 20
	var racing sync.WaitGroup
	for n := range racers {
		racing.Go(func() { o.race(ctx, n, rounds, rand.New(rand.NewPCG(seed, uint64(n)))) })
	}
	for range 5 {
		is.NoErr(b.SetFaults(ctx, cwstore.Faults{LostResponses: 3, Delay: cwcodec.Duration(5 * time.Millisecond)}))
		b.timer.Sleep(ctx.Done(), 50*time.Millisecond)
	}
	racing.Wait()
	is.NoErr(b.SetFaults(ctx, cwstore.Faults{}))
	outcomes := map[cwfault.Code]int{}
	for _, operation := range o.history {
		if !operation.Input.(change).isRead {
			outcomes[operation.Output.(result).code]++
		}
	}
	t.Logf("seed %d: %d operations, changes by error code %v", seed, len(o.history), outcomes)
	is.True(outcomes[""] > 0)               // some changes were accepted
	is.True(outcomes[cwfault.Conflict] > 0) // and some collided
	is.Equal(porcupine.CheckOperationsTimeout(historyModel.ToModel(), o.history, limit), porcupine.Ok)

	var last cwcodec.Configuration
	is.NoErr(client.Call(ctx, fasthttp.MethodGet, b.Hosts[0].Operators, cwadmin.PathConfiguration, nil, &last))
	began := b.timer.Now()
	is.NoErr(b.AwaitConfiguration(ctx, cwpolicy.Version(last.Version)))
	t.Logf("version %d was in force on all hosts after %v", last.Version, b.timer.Now().Sub(began).Round(time.Millisecond))
}
