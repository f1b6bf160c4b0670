// Package engine is a stand-in of a model engine. It keeps an engine's books
// (batch, steps, slots, prefix cache, fencing number) and none of its
// arithmetic: its answer is a plain function of model and prompt, so a test
// knows what each caller must get.
//
//	POST /v1/completions --> waiting --admit--> running --step--> words --> caller
//	                         by priority        at most Batch     one a step
//	POST /v1/load_lora_adapter --> weight store --> slot
//
// One goroutine makes the steps; handlers wait for the words of their own
// request. The words are worked out by the handler, so a step only counts.
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

// Defaults of an engine.
const (
	DefaultBatchSize    = 32
	DefaultTokenBudget  = 256 // a step's capacity: prompt and output tokens
	DefaultAdapterSlots = 8
	DefaultQueueLimit   = 1024 // requests that wait; more are refused
	DefaultCacheSize    = 4096 // prefixes
	DefaultBlockSize    = 16   // tokens; prefixes are cached in multiples of it

	DefaultStepTime    magno.Millis = 5
	DefaultReportLag   magno.Millis = 200
	DefaultEventDelay  magno.Millis = 100
	DefaultRestartTime magno.Millis = 500
	DefaultLoadTime    magno.Millis = 100
)

// maxRuns bounds the record of runs, to some tens of megabytes; further ones
// are counted as dropped.
const maxRunRecords = 1 << 18

// Engine is a stand-in engine. Fields are set before Run and Handler; a zero
// field takes its default.
type Engine struct {
	Title string
	// Step is the time of a step in milliseconds.
	StepTime magno.Millis
	// Batch is the number of requests in a step, Tokens a step's capacity.
	BatchSize   int
	TokenBudget int
	// Slots is the number of adapters held at once.
	AdapterSlots int
	// Queue is the number of requests that may wait.
	QueueLimit int
	// Cache is the number of prefixes kept, Block their unit in tokens.
	CacheSize int
	BlockSize int
	// Lag is how old a report is; Late is how long a cache event takes to
	// show. Each Gap-th event never shows; 0 loses none.
	ReportLag         magno.Millis
	EventDelay        magno.Millis
	EventLossInterval int
	// Restart is how long the engine is down after a crash.
	RestartTime magno.Millis
	// Store is the weight store's URL without a path. When it is empty, a
	// load takes Load and can't fail.
	StoreURL string
	// Load is what the report states as the time of a load at full speed.
	LoadTime magno.Millis
	// Client fetches from the store; nil means http.DefaultClient.
	Client *http.Client
	// Ticks lets a test make each step; nil means one each Step.
	Ticks <-chan struct{}
	Clock *magno.Clock

	once   sync.Once
	faults fault.Injector

	mu sync.Mutex
	// boot changes with each restart and is never reused.
	boot int64
	// upAt is when the engine answers again after a restart.
	upAt magno.Millis
	// fence is the highest number seen since boot.
	fence int64
	// slots maps adapter@version to its state. Its length is at most Slots.
	slots map[string]*slot
	// names are the loaded adapters in order; the slice is replaced, never
	// changed, for reports share it.
	loadedNames []string
	// waiting is in order of priority, then arrival.
	waiting []*request
	// running holds at most Batch.
	running    []*request
	cache      *cache
	reports    past.History[Report]
	totalSteps stepCounts
	// since counts from boot on, total from the start.
	stepsSinceBoot stepCounts
	runs           []*Run
	// dropped counts runs over maxRuns; refused counts requests never run.
	dropped  int64
	refused  int64
	arrivals int64
	// life ends with a restart or with Run; loads in progress hold it.
	bootCtx    context.Context //nolint:containedctx // the life of a simulated process
	cancelBoot context.CancelFunc
	// ended is true once Run is over: no step will be made for a request.
	ended bool
	// passes counts calls of step, with or without work.
	stepCalls int64
	// work wakes the step loop.
	workReady chan struct{}
}

// slot is one adapter in memory or on its way there.
type slot struct {
	// loaded is true once requests may use it.
	loaded bool
	// uses counts waiting and running requests; it is never unloaded over 0.
	refs int
	// done is closed when the load ends; err tells how, and is set before.
	done chan struct{}
	err  error
	// life is that of the process that loads it.
	bootCtx context.Context //nolint:containedctx // the life of a simulated process
}

// tally counts steps.
type stepCounts struct {
	steps, capacity, used int64
}

// Name returns the title, for the kernel.
func (e *Engine) Name() string { return e.Title }

// Fault carries out an order as POST /fault does.
func (e *Engine) Fault(spec fault.Spec) error {
	e.prepare()
	return e.faults.Set(spec)
}

// prepare fills defaults and the first boot.
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

// Run makes steps until ctx ends, then cuts what is in progress. An idle engine
// makes none.
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

// busy makes steps while there is work; it returns false when ctx ended.
func (e *Engine) runSteps(ctx context.Context) bool {
	next := time.Now()
	for {
		next = next.Add(time.Duration(float64(e.StepTime.Span()) * e.faults.Slowdown("")))
		if now := time.Now(); next.Before(now) {
			// A machine that stalls makes fewer steps, not a burst of them.
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

// tick waits for the next step.
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

// stop cuts every request and load when the engine ends.
func (e *Engine) shutdown() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.restart(0)
	e.cancelBoot()
	e.ended = true
}

// empty drops all that an engine holds in memory. The caller holds mu, or is
// the only user.
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

// restart cuts every request and empties the engine; it answers again after
// down. The caller holds mu.
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

// up tells whether the engine answers.
func (e *Engine) up() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.Clock.Now() >= e.upAt
}
