// Package daemon puts guavarill's parts together into one process: the entry
// that takes callers' requests, the scheduler of the shards that this daemon
// owns, and the member that carries configuration and targets among daemons.
//
// One goroutine, the control loop, owns all control state. It takes typed
// events, steps the state machines of the core packages, and hands the calls
// that they ask for to an executor, whose results come back as events. Nothing
// else touches control state. Traffic goroutines run in package traffic and
// read only what the control loop gives the engine.
//
// The executor and the clock are handed in. A daemon runs calls in goroutines;
// the tests of whole sessions run them one at a time in a fixed order, so that
// the same session gives the same time line on every run.
package daemon
