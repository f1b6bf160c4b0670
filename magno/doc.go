// Package magno is the root of a serving layer for large numbers of LoRA adapters. It
// contains what all programs share: data types, the interfaces of replaceable parts, the
// closed list of error kinds, the clock, the supervisor and the plug-in registry.
// Implementations are in packages below it.
//
//	          platform: configuration service, instance list (read only)
//	               | watch                          | watch
//	               v                                v
//	caller --> entry --------- run, parts --------> agent --> upstream
//	  HTTP     profile, route,      jsonrpc2        queue, adapter slots,
//	           attempts, answer                     ledger, witness
//	                                                  |  ^
//	                                                  v  | grants, gossip, turns
//	                                                other agents
//
// Entries have soft state only. An agent is the only process that sends requests and
// commands to its upstream, so that fairness, batching and adapter slots are decided in
// one place. Packages that make decisions don't import networking packages.
package magno
