/* Counters of the decisions of fair scheduling. */
#include "admission_state.h"

void
admission_counters_init(admission_t *a)
{
	a->metrics[FAIR_REFUSED] =
	    counter_get("daisypier_admission_refused_early_total",
		"Requests refused before the end of their wait, without a "
		"promise");
	a->metrics[FAIR_REFUSED_RETURN] =
	    counter_get("daisypier_admission_returns_promised_total",
		"Refused requests whose caller was promised a time to return");
	a->metrics[FAIR_RETURN] =
	    counter_get("daisypier_admission_returns_total",
		"Requests that arrived at a promised time");
	a->metrics[FAIR_STARVED] =
	    counter_get("daisypier_admission_starved_grants_total",
		"Slots granted out of order to a starved organisation or zone");
}

void
admission_count(admission_t *a, fair_event_t event)
{
	counter_add(a->metrics[event], 1);
	switch (event) {
	case FAIR_REFUSED:
		a->counters.refused_early++;
		break;
	case FAIR_REFUSED_RETURN:
		a->counters.refused_early++;
		a->counters.refused_return++;
		break;
	case FAIR_RETURN:
		a->counters.promises_kept++;
		break;
	case FAIR_STARVED:
		a->counters.granted_starved++;
		break;
	case FAIR_EVENTS:
		break;
	}
}
