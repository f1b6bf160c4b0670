// Command agent runs beside one upstream and is the only process that sends it work and orders.
//
//	agent [flags]      configured by the settings of this system
//	agent site NAME    configured by a platform, through the site plug-in NAME
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
