// Package server makes a whole guavarill process out of settings: the daemon,
// its adapters, and its three listeners. The command guavarilld and the demo
// are thin around it.
package server
