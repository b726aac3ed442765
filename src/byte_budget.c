/* Bounds the bytes that are sent: a burst, and a rate at which more follow. */
#include "byte_budget.h"

#include <math.h>

/* Begins with a whole burst; params must stay valid, now is in seconds. */
void
byte_budget_init(
    byte_budget_t *budget, const byte_budget_params_t *params, double now)
{
	*budget = (byte_budget_t){
	    .params = params,
	    .left = params->burst,
	    .updated_at = now,
	};
}

/* Takes bytes; returns false, and takes none, if there are not enough. */
bool
byte_budget_take(byte_budget_t *budget, size_t bytes, double now)
{
	const byte_budget_params_t *params = budget->params;

	budget->left = fmin(params->burst,
	    budget->left + (now - budget->updated_at) * params->per_second);
	budget->updated_at = now;
	if (budget->left < (double)bytes)
		return (false);
	budget->left -= (double)bytes;
	return (true);
}
