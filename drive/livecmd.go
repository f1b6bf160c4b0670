package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"time"

	"magnoliastall.example/drive/live"
	"magnoliastall.example/magno"
	"magnoliastall.example/magno/setup"
)

// liveConfig holds the settings of drive live.
type liveConfig struct {
	Layout string       `json:"layout" help:"folder that drive layout wrote"`
	For    string       `json:"for" help:"how long to send, such as 20s"`
	Seed   uint64       `json:"seed" help:"seed of the requests"`
	Rate   float64      `json:"rate" help:"requests a second"`
	Zipf   float64      `json:"zipf" help:"exponent of adapter popularity"`
	Resend float64      `json:"resend" help:"share of requests with a key that are sent twice"`
	Client magno.Millis `json:"client" help:"ms between caller and entry, one way"`
}

// Check returns an error for the first setting that is out of range.
func (c *liveConfig) Check() error {
	if d, err := time.ParseDuration(c.For); err != nil || d < time.Second || d > 24*time.Hour {
		return &setup.Error{Key: "for", Message: fmt.Sprintf("%q is not a duration from 1s to 24h", c.For)}
	}
	for _, err := range []error{
		setup.Range("rate", c.Rate, 0.1, 10000), setup.Range("zipf", c.Zipf, 0.1, 5),
		setup.Range("resend", c.Resend, 0, 1), setup.Range("client", int64(c.Client), 0, 10000),
	} {
		if err != nil {
			return err
		}
	}
	return nil
}

// runLive implements `drive live`. It returns 0 only if no request was run twice, lost or
// answered wrongly.
func runLive(ctx context.Context, args []string) int {
	cfg := &liveConfig{
		Layout: "out/demo", For: "20s", Seed: 1, Rate: live.DefaultRate, Zipf: live.DefaultZipfExponent,
		Resend: live.DefaultResendShare, Client: live.DefaultClientDelay,
	}
	if err := setup.Load("drive live", args, cfg); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return 0
		}
		fmt.Fprintln(os.Stderr, "drive live:", err)
		return setup.ExitUsage
	}
	report, err := sendLive(ctx, cfg)
	if err != nil {
		fmt.Fprintln(os.Stderr, "drive live:", err)
		return 1
	}
	if err := report.Print(os.Stdout); err != nil || !report.Passed() {
		return 1
	}
	return 0
}

func sendLive(ctx context.Context, cfg *liveConfig) (*live.Report, error) {
	duration, err := time.ParseDuration(cfg.For)
	if err != nil {
		return nil, err
	}
	l := &live.LoadTest{
		Seed: cfg.Seed, Rate: cfg.Rate, Duration: duration, ZipfExponent: cfg.Zipf, ResendShare: cfg.Resend, ClientDelay: cfg.Client,
		Out: os.Stdout,
	}
	if err := l.ReadLayout(cfg.Layout); err != nil {
		return nil, err
	}
	return l.Run(ctx)
}
