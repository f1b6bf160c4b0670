// Program second runs the scripted cases of the second review: the system's own programs as processes,
// and stand-ins for consumers, workers and the platform.
//
//	second CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. With TROUBLE=0 in the
// environment the disruption is left out.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxRun bounds a run.
const maxRun = 110 * time.Second

// cases maps the names of cases to what runs them. Each returns how often the rule was broken.
var cases = map[string]func(w *world, trouble bool) (int, error){
	"version": runVersion,
	"readers": runReaders,
	"slow":    runSlow,
	"homes":   runHomes,
}

// networks has the part of the loopback network that a case takes first. Where it isn't named, any is as good.
var networks = map[string]int{"homes": homesNetwork}

func main() { os.Exit(realMain()) }

func realMain() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: second CASE RECORD")
		return 2
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxRun)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	w, err := newWorld(ctx, os.Args[2], networks[os.Args[1]])
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer w.close() // also if the case panics
	broken, err := cases[os.Args[1]](w, os.Getenv("TROUBLE") != "0")
	if err == nil && ctx.Err() != nil {
		err = errCannotRun
	}
	switch {
	case errors.Is(err, errCannotRun), err != nil:
		w.say("could not run: %v", err)
	case broken > 0:
		w.say("BROKEN %d times", broken)
	default:
		w.say("held")
	}
	switch {
	case err != nil:
		return 2
	case broken > 0:
		return 1
	}
	return 0
}
