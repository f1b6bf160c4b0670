package gate

import (
	"math"

	"magnoliastall.example/magno"
)

// The kinds are a usual stream, one of long prompts and a higher rank, and short ones.
var (
	replayGuide    = replayKind{name: "guide", prompt: 826, events: 12, rank: 1, target: 500, wait: 1500, value: 1.8, late: 0.9}
	replayCheck    = replayKind{name: "check", prompt: 2368, events: 3, rank: 0, target: 600, wait: 1900, value: 2.3, late: 1.2}
	replayHomed    = replayKind{name: "check", prompt: 2368, events: 3, rank: 0, target: 900, wait: 1900, value: 2.3, late: 1.2, home: 1}
	replayVeryLong = replayKind{name: "very long", prompt: 6000, events: 12, rank: 1, target: 700, wait: 1500, value: 1.8, late: 0.9}
	replayLong     = replayKind{name: "long", prompt: 2368, events: 12, rank: 1, target: 500, wait: 1500, value: 1.8, late: 0.9}
)

// burst is on for the first part of each period.
func burst(at, period, length magno.Millis, rate float64) float64 {
	if at%period < length {
		return rate
	}
	return 0
}

func wave(at, period magno.Millis, mean, depth float64) float64 {
	return mean * (1 + depth*math.Sin(2*math.Pi*float64(at)/float64(period)))
}

// waves returns the rates of two kinds of requests that rise and fall together, with the given means.
func waves(period magno.Millis, depth, first, second float64) func(kind int, at magno.Millis) float64 {
	return func(kind int, at magno.Millis) float64 {
		return wave(at, period, []float64{first, second}[kind], depth)
	}
}

// steady returns the constant rates of two kinds of requests.
func steady(first, second float64) func(kind int, at magno.Millis) float64 {
	return func(kind int, _ magno.Millis) float64 { return []float64{first, second}[kind] }
}

// replayLoads are the loads by name.
var replayLoads = map[string]replayLoad{
	"urgent bursts": {
		speeds: []float64{32, 32, 32}, kinds: []replayKind{replayGuide, replayCheck}, span: 30 * magno.Second,
		rate: func(kind int, at magno.Millis) float64 {
			if kind == 0 {
				return 60
			}
			return burst(at, 2000, 300, 100)
		},
	},
	"urgent bursts at one": {
		speeds: []float64{32, 32, 32}, kinds: []replayKind{replayGuide, replayHomed}, span: 30 * magno.Second,
		rate: func(kind int, at magno.Millis) float64 {
			if kind == 0 {
				return 60
			}
			return burst(at, 1500, 100, 80)
		},
	},
	"uneven engines": {
		speeds: []float64{40, 40, 14}, kinds: []replayKind{replayGuide, replayCheck}, span: 30 * magno.Second,
		rate: waves(9000, 0.55, 55, 8),
	},
	"mixed lengths": {
		speeds: []float64{32, 32}, kinds: []replayKind{replayGuide, replayLong}, span: 30 * magno.Second,
		rate: waves(7000, 0.5, 45, 9),
	},
	"few very long": {
		speeds: []float64{32, 32}, kinds: []replayKind{replayGuide, replayVeryLong}, span: 30 * magno.Second,
		rate: waves(7000, 0.5, 42, 3),
	},
	"engine turns slow": {
		speeds: []float64{32, 32, 32}, kinds: []replayKind{replayGuide, replayCheck}, span: 20 * magno.Second, slowAt: 8 * magno.Second,
		rate: steady(60, 5),
	},
	"all full": {
		speeds: []float64{32, 32, 32}, kinds: []replayKind{replayGuide, replayCheck}, span: 20 * magno.Second,
		rate: steady(140, 15),
	},
}
