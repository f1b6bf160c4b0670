package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The case "homes": machines are stopped and started in turn while one tenant sends many times its usual. Bounds and
// allowance are those of the site dgro-ops-now-grown.
const (
	frontNum     = 30
	tenantRate   = 246_000 // tokens in a second, across all machines
	tenantBurst  = 246_000
	tenantKey    = "asnmgkcuyj8pjbvk9m68"
	quotaWindow  = 8 * time.Second
	quotaSlack   = 17_000
	requestCost  = 3_000
	requestCount = "2200,800"
	// quotaBound is (rate x window + burst) x (1 + overshoot) + slack, with an overshoot of a quarter.
	quotaBound = (tenantRate*8+tenantBurst)*125/100 + quotaSlack
	// usualShare is the tenant's usual rate as a share of its allowance, hotFactor how many times that it sends.
	usualShare = 1 / 1.8
	hotFactor  = 6.0
	// rollNum machines are stopped, rollStep at a time, rollGap after the others.
	rollNum      = 14
	rollStep     = 4
	rollGap      = 1300 * time.Millisecond
	restartPause = 300 * time.Millisecond
	calmBefore   = 10 * time.Second
	hotBefore    = 2 * time.Second
	hotAfter     = 9 * time.Second
	fleetTime    = 4 * time.Second
	readyPause   = time.Second
	// homesNetwork fixes the addresses, by which the system chooses the machine that keeps the tenant's allowance.
	homesNetwork = 23
)

// tenantSettings replace settings of the other cases.
var tenantSettings = []string{
	"contracts=base,drain,config,cost,retry,recover,health,pool,fleet,stream,engine,tenants,quota,platform",
	"bounds.quota_window_s=8", "bounds.quota_overshoot=0.25", "bounds.quota_slack=17000", "bounds.revoke_fail_closed=true", "bounds.revoke_ms=5000",
	"bounds.stability_window_ms=4000", "bounds.acknowledge_ms=6000", "bounds.catch_up_s=6", "bounds.drain_ms=3000", "bounds.config_apply_ms=3000",
	"bounds.outer_bound_ms=6000", "bounds.retry_budget_slack=100", "bounds.recovery_s=15", "bounds.pass_ms=200",
	"platform.writes_per_s=1200", "platform.reads_per_s=6000",
}

// wideNum machines are of the larger kind of the site, eight of its thirty.
const wideNum = 8

// machineSettings are the limits of a machine.
func machineSettings(i int) []string {
	if i < wideNum {
		return []string{"limits.link_bandwidth_mbps=200", "limits.memory_mb=536", "limits.cpu_share=0.8", "limits.file_descriptors=8192"}
	}
	return []string{"limits.link_bandwidth_mbps=10.0", "limits.memory_mb=184", "limits.cpu_share=0.144", "limits.file_descriptors=4100"}
}

// fleet is what consumers know of the machines: those that were asked twice in a row without a 200 take no requests.
type fleet struct {
	w      *world
	mu     sync.Mutex
	misses [frontNum]int
}

// watch asks all machines whether they are ready until the run ends.
func (f *fleet) watch() {
	client := &http.Client{Timeout: readyPause, Transport: &http.Transport{DisableKeepAlives: true}}
	for f.w.pause(readyPause) {
		for i := range frontNum {
			go func() {
				res, err := client.Get("http://" + f.w.address(1, i+1, portReady) + names["readypath"])
				f.mu.Lock()
				defer f.mu.Unlock()
				if err == nil {
					_ = res.Body.Close()
				}
				if err == nil && res.StatusCode == http.StatusOK {
					f.misses[i] = 0
				} else {
					f.misses[i]++
				}
			}()
		}
	}
}

// pick returns the index of a machine that takes requests.
func (f *fleet) pick(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for k := range frontNum {
		if i := (n + k) % frontNum; f.misses[i] < 2 {
			return i
		}
	}
	return n % frontNum
}

// runHomes counts the windows in which more of the tenant's tokens run than its allowance and the overshoot permit.
func runHomes(w *world, trouble bool) (int, error) {
	w.extra = func(i int) []string { return append(machineSettings(i), tenantSettings...) }
	plan := deskPlan(3, 800)
	plan["tenants"] = []any{map[string]any{
		"name": "lebo900", "api_keys": []string{tenantKey}, "priority": 1, "unit": "token_streaming", "uncached_tokens": 200,
		"rate_per_s": tenantRate, "burst": tenantBurst,
	}}
	w.store.put("op/config", plan)
	workers, err := startDesk(w, deskWork, nil)
	if err != nil {
		return 0, err
	}
	if err := w.startEntries(frontNum, func(int) string { return w.address(0, 1, portStore) }); err != nil {
		return 0, err
	}
	if err := w.awaitReady(frontNum); err != nil {
		return 0, err
	}
	machines := slices.Clone(w.procs)
	w.pause(fleetTime)
	f := &fleet{w: w}
	go f.watch()
	t := &tenant{w: w, fleet: f, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}}
	var sending sync.WaitGroup
	sending.Add(1)
	go func() {
		defer sending.Done()
		t.send(usualShare, calmBefore)
		w.say("the tenant sends %.1f times its usual", hotFactor)
		t.send(usualShare*hotFactor, hotBefore+hotAfter)
	}()
	w.pause(calmBefore + hotBefore)
	var rolling sync.WaitGroup
	for i := 0; trouble && i < rollNum; i += rollStep {
		for _, p := range machines[i:min(i+rollStep, rollNum)] {
			rolling.Add(1)
			go func() {
				defer rolling.Done()
				w.restart(p)
			}()
		}
		w.pause(rollGap)
	}
	sending.Wait()
	rolling.Wait()
	return t.judge(workers)
}

// restart stops a machine's process as planned and starts it again.
func (w *world) restart(p *process) {
	w.say("SIGTERM of %s", p.name)
	p.signal(syscall.SIGTERM)
	select {
	case <-p.ended:
	case <-time.After(graceTime):
		p.signal(syscall.SIGKILL)
		<-p.ended
	}
	if !w.pause(restartPause) {
		return
	}
	w.say("%s starts again", p.name)
	if err := w.startAgain(p); err != nil {
		w.say("%v", err)
	}
}

// tenant sends requests with the key of the tenant.
type tenant struct {
	w      *world
	fleet  *fleet
	client *http.Client
	count  int

	mu     sync.Mutex
	all    sync.WaitGroup
	sentAt map[string]time.Time
	status map[int]int
}

// send sends a share of the allowance for a time.
func (t *tenant) send(share float64, length time.Duration) {
	pause := time.Duration(float64(time.Second) * requestCost / (tenantRate * share))
	begun := time.Now()
	for n := 1; time.Since(begun) < length; n++ {
		t.count++
		t.all.Add(1)
		go t.ask(fmt.Sprintf("%016x", t.count), t.fleet.pick(t.count))
		if !t.w.pause(time.Until(begun.Add(time.Duration(n) * pause))) {
			return
		}
	}
}

func (t *tenant) ask(id string, entry int) {
	defer t.all.Done()
	r, err := http.NewRequestWithContext(t.w.ctx, http.MethodPost, "http://"+t.w.entry(entry)+"/puxa403/2f", strings.NewReader("record"))
	if err != nil {
		panic(err)
	}
	r.Host = host
	r.Header.Set(names["attempt"], id)
	r.Header.Set(names["deadline"], number(int(deskLimit.Milliseconds())))
	r.Header.Set(names["tokens"], requestCount)
	r.Header.Set("Authorization", "Bearer "+tenantKey)
	now := time.Now()
	t.w.noteAt(now, "sent %s to %s, %d tokens", id, entryName(entry), requestCost)
	t.mu.Lock()
	if t.sentAt == nil {
		t.sentAt, t.status = map[string]time.Time{}, map[int]int{}
	}
	t.sentAt[id] = now
	t.mu.Unlock()
	status := 0
	res, err := t.client.Do(r)
	if err == nil {
		_, _ = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
		status = res.StatusCode
	}
	t.w.note("answer %s from %s: %d %v", id, entryName(entry), status, err)
	t.mu.Lock()
	t.status[status]++
	t.mu.Unlock()
}

// judge looks for the window in which most tokens were sent and ran.
func (t *tenant) judge(workers []*plain) (int, error) {
	t.all.Wait()
	type event struct{ sent, ran time.Time }
	var runs []event
	for _, p := range workers {
		for _, a := range p.allArrivals() {
			if a.ran {
				runs = append(runs, event{t.sentAt[a.id], a.at})
			}
		}
	}
	sort.Slice(runs, func(i, j int) bool { return runs[i].sent.Before(runs[j].sent) })
	most, from, broken := 0, time.Time{}, 0
	for i := range runs {
		tokens := 0
		for _, r := range runs[i:] {
			if r.ran.Sub(runs[i].sent) < quotaWindow {
				tokens += requestCost
			}
		}
		if tokens > most {
			most, from = tokens, runs[i].sent
		}
		if tokens > quotaBound {
			broken++
		}
	}
	if broken > 0 {
		t.w.noteAt(from, "QUOTA: %d tokens were sent and ran in %s from here, allowed are %d", most, quotaWindow, quotaBound)
	}
	t.w.say("%d requests, %d runs, statuses %v; at most %d tokens in %s, allowed are %d", t.count, len(runs), t.status, most, quotaWindow, quotaBound)
	if len(runs)*10 < t.count {
		return 0, fmt.Errorf("%w: %d of %d requests ran", errCannotRun, len(runs), t.count)
	}
	return broken, nil
}

// startAgain starts a process that has ended with the settings that it had.
func (w *world) startAgain(p *process) error {
	log, err := os.OpenFile(w.folder+"/"+p.name+".log", os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	return w.run(p.program, p.name, p.ip, log)
}
