// Command entry takes callers' requests and brings them to agents.
//
//	entry [flags]      with settings of the product's own
//	entry site NAME    on a platform that the plug-in of that name speaks for
package main

import (
	"os"

	"magnoliastall.example/entry/daemon"
	"magnoliastall.example/entry/site"
)

func main() {
	if len(os.Args) == 3 && os.Args[1] == "site" {
		os.Exit(site.Main(os.Args[2]))
	}
	os.Exit(daemon.Main(os.Args[1:]))
}
