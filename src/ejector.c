/* Takes a failing endpoint out of use and lets it return step by step. */
#include "ejector.h"

#include <math.h>

#include "result.h"

#define FAILURES_TO_EJECT 3
#define MIN_EJECTION_S	  1.0
#define MAX_EJECTION_S	  30.0
/* From here on the endpoint counts as fully returned. */
#define ALLOWED_FULL 64

/* Returns whether a result code is a fault of the endpoint itself. */
bool
ejector_counts(int rc)
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
 * Takes in the end of one request. Codes that say nothing about the endpoint,
 * such as a caller that went away, change nothing. Returns whether the endpoint
 * was ejected by this report.
 */
bool
ejector_report(ejector_t *ejector, int rc, double now)
{
	if (rc == 0 || rc == -RESULT_ENDPOINT_REFUSED) {
		/* A success that began before the ejection proves nothing. */
		if (now < ejector->ejected_until)
			return (false);
		ejector->failures = 0;
		ejector->allowed *= 2;
		if (ejector->allowed >= ALLOWED_FULL) {
			ejector->allowed = 0;
			ejector->next_ejection = 0;
		}
		return (false);
	}
	if (!ejector_counts(rc) || now < ejector->ejected_until)
		return (false);
	ejector->failures++;
	/*
	 * A returning endpoint has no credit: one failure ejects it again. One
	 * that is leaving, as a holder knows, gets nothing more at once.
	 */
	if (ejector->allowed == 0 && ejector->failures < FAILURES_TO_EJECT &&
	    rc != -RESULT_STOPPING)
		return (false);
	ejector->next_ejection = fmax(ejector->next_ejection, MIN_EJECTION_S);
	ejector->ejected_until = now + ejector->next_ejection;
	ejector->next_ejection =
	    fmin(ejector->next_ejection * 2, MAX_EJECTION_S);
	ejector->failures = 0;
	ejector->allowed = 1;
	return (true);
}

/* Ends an ejection early; the return is gradual all the same. */
void
ejector_readmit(ejector_t *ejector, double now)
{
	if (ejector->ejected_until > now)
		ejector->ejected_until = now;
}

/* Returns whether the endpoint gets no requests now. */
bool
ejector_is_out(const ejector_t *ejector, double now)
{
	return (now < ejector->ejected_until);
}

/* Returns how many requests the endpoint may have at a time now. */
unsigned
ejector_bound(const ejector_t *ejector, unsigned limit, double now)
{
	if (ejector_is_out(ejector, now))
		return (0);
	if (ejector->allowed > 0 && ejector->allowed < limit)
		return (ejector->allowed);
	return (limit);
}
