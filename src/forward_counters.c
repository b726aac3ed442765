/* Metrics of the forwarding of online requests. */
#include "forward_counters.h"

void
forward_counters_init(forward_counters_t *counters)
{
	counters->requests = counter_get(
	    "daisypier_forward_requests_total", "Online requests with a route");
	counters->retries = counter_get("daisypier_forward_retries_total",
	    "Attempts after the first one of a request");
	counters->resumed = counter_get("daisypier_forward_resumed_total",
	    "Streams that went on at another endpoint");
	counters->refused = counter_get("daisypier_forward_refused_total",
	    "Requests that were answered as not run");
	counters->failed = counter_get("daisypier_forward_failed_total",
	    "Requests that failed and may have run");
	counters->aborted = counter_get("daisypier_forward_broken_off_total",
	    "Streams that ended before their last event");
	counters->callers_disconnected =
	    counter_get("daisypier_forward_callers_gone_total",
		"Requests whose caller left before the answer");
	counters->timeouts = counter_get("daisypier_forward_timeouts_total",
	    "Requests that ran out of time");
	counters->paused = counter_get("daisypier_forward_paused_total",
	    "Times that a stream waited for its caller to read");
	counters->stalled = counter_get("daisypier_forward_stalled_total",
	    "Streams cut off because their callers did not read");
	counters->admission =
	    histogram_get("daisypier_forward_admission_seconds",
		"Time until a request got a slot");
	counters->first_event =
	    histogram_get("daisypier_forward_first_event_seconds",
		"Time until the first event of an answer");
	counters->total = histogram_get("daisypier_forward_total_seconds",
	    "Time until a request was finished");
}
