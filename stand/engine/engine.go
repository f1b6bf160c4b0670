// Package engine simulates a model engine with continuous batching. It models
// the batch, steps, adapter slots, prefix cache and fencing token, but runs no
// inference: the output depends only on model and prompt, so a test can compute
// the expected answer of each caller.
//
//	POST /v1/completions --> waiting --admit--> running --step--> tokens --> caller
//	                         by priority        at most BatchSize one per step
//	POST /v1/load_lora_adapter --> weight store --> adapter slot
//
// One goroutine runs the steps; each handler waits for the output tokens of its
// own request. Handlers build the text themselves, so a step only counts tokens.
package engine

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"magnoliastall.example/magno"
	"magnoliastall.example/stand/fault"
	"magnoliastall.example/stand/past"
)

// Defaults of the fields of Engine.
const (
	DefaultBatchSize    = 32
	DefaultTokenBudget  = 256 // prompt and output tokens per step
	DefaultAdapterSlots = 8
	DefaultQueueLimit   = 1024 // waiting requests; more are rejected
	DefaultCacheSize    = 4096 // prefixes
	DefaultBlockSize    = 16   // tokens; prefixes are cached in whole blocks

	DefaultStepTime    magno.Millis = 5
	DefaultReportLag   magno.Millis = 200
	DefaultEventDelay  magno.Millis = 100
	DefaultRestartTime magno.Millis = 500
	DefaultLoadTime    magno.Millis = 100
)

// maxRunRecords bounds the recorded runs to some tens of megabytes of memory.
// Further runs are only counted, as dropped.
const maxRunRecords = 1 << 18

// Engine simulates a model engine. Fields must be set before Run and Handler are
// called; a zero field takes its default.
type Engine struct {
	Title string
	// StepTime is the duration of a step in milliseconds.
	StepTime magno.Millis
	// BatchSize is the most requests in a step. TokenBudget is the most prompt
	// and output tokens that a step processes.
	BatchSize   int
	TokenBudget int
	// AdapterSlots is the number of adapters that can be loaded at once.
	AdapterSlots int
	// Build is the version of the software that reports state, empty for none.
	Build string
	// QueueLimit is the number of requests that may wait.
	QueueLimit int
	// CacheSize is the number of prefixes in the prefix cache. BlockSize is the
	// number of tokens in a block; only whole blocks are cached.
	CacheSize int
	BlockSize int
	// ReportLag is the age of a report. EventDelay is the time until a cache
	// event is visible. Every EventLossInterval-th event is lost; 0 loses none.
	ReportLag         magno.Millis
	EventDelay        magno.Millis
	EventLossInterval int
	// RestartTime is how long the engine is down after a crash.
	RestartTime magno.Millis
	// StoreURL is the URL of the weight store, without a path. When it is empty,
	// a load takes LoadTime and cannot fail.
	StoreURL string
	// LoadTime is the full-speed load time that reports state.
	LoadTime magno.Millis
	// Client fetches weights from the store; nil means http.DefaultClient.
	Client *http.Client
	// Ticks lets a test trigger each step; nil means one step per StepTime.
	Ticks <-chan struct{}
	Clock *magno.Clock

	once   sync.Once
	faults fault.Injector

	mu sync.Mutex
	// boot identifies an incarnation. It increases with each restart, so no value
	// is reused.
	boot int64
	// upAt is the time from which the engine answers after a restart.
	upAt magno.Millis
	// fence is the highest fencing token seen since boot.
	fence int64
	// slots maps adapter@version to its state. It has at most AdapterSlots entries.
	slots map[string]*slot
	// loadedNames lists the loaded adapters, sorted. The slice is replaced and
	// never modified, because reports share it.
	loadedNames []string
	// waiting is ordered by priority, then arrival.
	waiting []*request
	// running has at most BatchSize requests.
	running []*request
	cache   *cache
	reports past.History[Report]
	// totalSteps counts over all boots, stepsSinceBoot since the last one.
	totalSteps     stepCounts
	stepsSinceBoot stepCounts
	runs           []*Run
	// dropped counts runs past maxRunRecords, refused requests that never ran.
	dropped  int64
	refused  int64
	arrivals int64
	// bootCtx ends with a restart or when Run returns; it cancels loads in progress.
	bootCtx    context.Context //nolint:containedctx // lifetime of a simulated process
	cancelBoot context.CancelFunc
	// ended is set when Run returns: later requests would wait for ever, as no
	// further step runs.
	ended bool
	// stepCalls counts calls of step, with or without work.
	stepCalls int64
	// workReady wakes the step loop.
	workReady chan struct{}
}

// slot is an adapter that is loaded or being loaded.
type slot struct {
	// loaded is set once requests may use the adapter.
	loaded bool
	// refs counts waiting and running requests; an adapter is only unloaded at 0.
	refs int
	// done is closed when the load ends. err is its result and is set before.
	done chan struct{}
	err  error
	// bootCtx is the one of the boot that loads the adapter.
	bootCtx context.Context //nolint:containedctx // lifetime of a simulated process
}

// stepCounts counts steps, their token budget and the tokens processed.
type stepCounts struct {
	steps, capacity, used int64
}

// Name implements magno.Task.
func (e *Engine) Name() string { return e.Title }

// Fault activates a fault, as POST /fault does.
func (e *Engine) Fault(spec fault.Spec) error {
	e.prepare()
	return e.faults.Set(spec)
}

// prepare sets defaults and starts the first boot.
func (e *Engine) prepare() {
	e.once.Do(func() {
		e.StepTime = orDefault(e.StepTime, DefaultStepTime)
		e.BatchSize = orDefault(e.BatchSize, DefaultBatchSize)
		e.TokenBudget = orDefault(e.TokenBudget, DefaultTokenBudget)
		e.AdapterSlots = orDefault(e.AdapterSlots, DefaultAdapterSlots)
		e.QueueLimit = orDefault(e.QueueLimit, DefaultQueueLimit)
		e.CacheSize = orDefault(e.CacheSize, DefaultCacheSize)
		e.BlockSize = orDefault(e.BlockSize, DefaultBlockSize)
		e.ReportLag = orDefault(e.ReportLag, DefaultReportLag)
		e.EventDelay = orDefault(e.EventDelay, DefaultEventDelay)
		e.RestartTime = orDefault(e.RestartTime, DefaultRestartTime)
		e.LoadTime = orDefault(e.LoadTime, DefaultLoadTime)
		if e.Client == nil {
			e.Client = http.DefaultClient
		}
		e.workReady = make(chan struct{}, 1)
		e.faults.Kinds = map[string]bool{
			fault.Outage: false, fault.Lag: false, fault.Slow: false, fault.Restart: false, fault.IgnoreFence: false,
			fault.Limit: false, fault.Leaving: false, fault.Rest: false, fault.Endless: false,
			fault.Fail: true, fault.Crash: true,
		}
		e.faults.OnRestart = func(down magno.Millis) {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.restart(down)
		}
		e.boot = max(int64(e.Clock.Now()), 1)
		e.reset()
	})
}

func orDefault[T int | magno.Millis](v, fallback T) T {
	if v == 0 {
		return fallback
	}
	return v
}

// Run runs steps until ctx ends, then aborts all requests and loads. An idle
// engine runs no steps.
func (e *Engine) Run(ctx context.Context) error {
	e.prepare()
	defer e.shutdown()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-e.workReady:
		}
		if !e.runSteps(ctx) {
			return nil
		}
	}
}

// runSteps runs steps while there is work. It returns false when ctx ended.
func (e *Engine) runSteps(ctx context.Context) bool {
	next := time.Now()
	for {
		next = next.Add(time.Duration(float64(e.StepTime.Duration()) * e.faults.Slowdown("")))
		if now := time.Now(); next.Before(now) {
			// After a stall of the machine, skip the missed steps instead of
			// running them in a burst.
			next = now
		}
		if !e.waitStep(ctx, time.Until(next)) {
			return false
		}
		if !e.step() {
			return true
		}
	}
}

// waitStep waits until the next step is due. It returns false when ctx ended.
func (e *Engine) waitStep(ctx context.Context, delay time.Duration) bool {
	if e.Ticks != nil {
		select {
		case <-ctx.Done():
			return false
		case <-e.Ticks:
			return true
		}
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// shutdown aborts every request and load.
func (e *Engine) shutdown() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.restart(0)
	e.cancelBoot()
	e.ended = true
}

// reset clears all state that a restart of the process would lose. The caller
// holds mu, or is the only user.
func (e *Engine) reset() {
	for _, s := range e.slots {
		s.fail(errRestarted)
	}
	e.slots, e.loadedNames = map[string]*slot{}, []string{}
	e.fence = 0
	e.bootCtx, e.cancelBoot = context.WithCancel(context.Background())
	e.stepsSinceBoot = stepCounts{}
	e.cache = newCache(e.CacheSize, e.BlockSize, e.EventDelay, e.EventLossInterval)
	e.reports.Reset()
	e.recordReport()
}

// restart aborts every request and resets the engine, which is unavailable for
// the time down. The caller holds mu.
func (e *Engine) restart(down magno.Millis) {
	for _, r := range slices.Concat(e.waiting, e.running) {
		r.terminate(stateAborted)
	}
	e.waiting, e.running = nil, nil
	e.cancelBoot()
	now := e.Clock.Now()
	e.boot = max(e.boot+1, int64(now))
	e.upAt = now + down
	e.reset()
}

// up reports whether the engine answers.
func (e *Engine) up() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.Clock.Now() >= e.upAt
}
