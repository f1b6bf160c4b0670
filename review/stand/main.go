// Command stand runs the cases of the review: it starts the project's programs as processes on loopback addresses, with
// stand-ins for the platform's store, the workers and the clients.
//
//	stand CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// cases holds the cases by name. Each runs with or without its disruption and reports whether the rule held.
var cases = map[string]func(w *world, trouble bool) (held bool, err error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		os.Exit(2)
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		w.close()
		os.Exit(2)
	}()
	held, err := cases[os.Args[1]](w, os.Getenv("TROUBLE") != "0")
	if err != nil {
		w.logf("the case couldn't run: %v", err)
	}
	w.close()
	switch {
	case err != nil:
		fmt.Println("couldn't run:", err)
		os.Exit(2)
	case !held:
		fmt.Println("broken")
		os.Exit(1)
	}
	fmt.Println("held")
}
