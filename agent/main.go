// Command agent runs beside one upstream and is the only process that sends
// it work and orders.
//
//	agent [flags]      with settings of the product's own
//	agent site NAME    on a platform that the plug-in of that name speaks for
package main

import (
	"os"

	"magnoliastall.example/agent/daemon"
	"magnoliastall.example/agent/site"
)

func main() {
	if len(os.Args) == 3 && os.Args[1] == "site" {
		os.Exit(site.Main(os.Args[2]))
	}
	os.Exit(daemon.Main(os.Args[1:]))
}
