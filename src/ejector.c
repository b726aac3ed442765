/* Ejects a failing endpoint and ramps its load up again afterwards. */
#include "ejector.h"

#include <math.h>

#include "result.h"

#define CONSECUTIVE_FAILURES_TO_EJECT 3
#define MIN_EJECTION_S		      1.0
#define MAX_EJECTION_S		      30.0
/*
 * An endpoint in trouble may fail only some of its requests, too few in a row
 * to be ejected; it is suspect for this long after each failure.
 */
#define SUSPECT_S 5.0
/* The ramp-up ends when its limit reaches this many concurrent requests. */
#define RAMP_UP_COMPLETE 64

/* Returns whether a result code indicates a failure of the endpoint itself. */
bool
ejector_is_endpoint_failure(int rc)
{
	switch (-rc) {
	case RESULT_ENDPOINT_UNREACHABLE:
	case RESULT_ENDPOINT_FAILED:
	case RESULT_ENDPOINT_SILENT:
	case RESULT_BROKEN_ANSWER:
	case RESULT_STOPPING:
		return (true);
	default:
		return (false);
	}
}

/*
 * Records the result of one request. Codes that say nothing about the endpoint,
 * such as a cancelled request, are ignored. Returns whether this result caused
 * an ejection.
 */
bool
ejector_report(ejector_t *ejector, int rc, double now)
{
	if (rc == 0 || rc == -RESULT_ENDPOINT_REFUSED) {
		/*
		 * The request began before the ejection, so its success does
		 * not show that the endpoint has recovered.
		 */
		if (now < ejector->ejected_until)
			return (false);
		ejector->failures = 0;
		ejector->ramp_up_limit *= 2;
		if (ejector->ramp_up_limit >= RAMP_UP_COMPLETE) {
			ejector->ramp_up_limit = 0;
			ejector->next_ejection_s = 0;
		}
		return (false);
	}
	if (!ejector_is_endpoint_failure(rc))
		return (false);
	ejector->suspect_until = now + SUSPECT_S;
	if (now < ejector->ejected_until)
		return (false);
	ejector->failures++;
	/*
	 * During the ramp-up a single failure ejects the endpoint again. A
	 * holder reports RESULT_STOPPING when it knows that the endpoint is
	 * leaving; such an endpoint is ejected at once.
	 */
	if (ejector->ramp_up_limit == 0 &&
	    ejector->failures < CONSECUTIVE_FAILURES_TO_EJECT &&
	    rc != -RESULT_STOPPING)
		return (false);
	ejector->next_ejection_s =
	    fmax(ejector->next_ejection_s, MIN_EJECTION_S);
	ejector->ejected_until = now + ejector->next_ejection_s;
	ejector->next_ejection_s =
	    fmin(ejector->next_ejection_s * 2, MAX_EJECTION_S);
	ejector->failures = 0;
	ejector->ramp_up_limit = 1;
	return (true);
}

/* Ends an ejection early; the ramp-up still applies. */
void
ejector_readmit(ejector_t *ejector, double now)
{
	if (ejector->ejected_until > now)
		ejector->ejected_until = now;
}

/* Returns whether the endpoint failed a request a short time ago. */
bool
ejector_is_suspect(const ejector_t *ejector, double now)
{
	return (now < ejector->suspect_until);
}

bool
ejector_is_ejected(const ejector_t *ejector, double now)
{
	return (now < ejector->ejected_until);
}

/* Returns limit, bounded by the ramp-up; 0 while the endpoint is ejected. */
unsigned
ejector_limit(const ejector_t *ejector, unsigned limit, double now)
{
	if (ejector_is_ejected(ejector, now))
		return (0);
	if (ejector->ramp_up_limit > 0 && ejector->ramp_up_limit < limit)
		return (ejector->ramp_up_limit);
	return (limit);
}
