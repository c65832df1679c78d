// Package jobforecast decides at hand-in which jobs are accepted while callers ask for
// more work than workers finish.
//
// The leader measures, for each queue, the work that arrives and is finished and the
// work that waits (Meter), and makes a Forecast from it: which share of the arriving
// jobs can be served within their objective. Every daemon decides by the last forecast
// that it has (Forecast.Decide). Nothing here does I/O.
//
// The load that this answers: for seconds to minutes, callers hand in several times the
// work that there is room for. If all of it were accepted, most jobs would be begun and
// end too late to be of use, and the room spent on them would be missing for others.
package jobforecast
