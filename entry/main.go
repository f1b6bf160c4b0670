// Command entry accepts callers' requests and forwards them to agents.
//
//	entry [flags]      with the system's own settings
//	entry site NAME    on a platform whose API the plug-in of that name implements
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
