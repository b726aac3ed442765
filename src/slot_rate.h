/* Rate at which running requests end and leave their slots to others. */
#ifndef DAISYPIER_SLOT_RATE_H
#define DAISYPIER_SLOT_RATE_H

#define SLOT_RATE_BUCKETS 15

typedef struct slot_rate_t {
	struct {
		double busy_s; /* slot-seconds in use */
		double ended;  /* requests that ended */
	} buckets[SLOT_RATE_BUCKETS];
	long long bucket; /* number of the current bucket since time 0 */
	double busy;	  /* slots in use since observed_at */
	double observed_at;
	double mean_run_s; /* EWMA over many requests; 0: unknown */
} slot_rate_t;

void slot_rate_init(slot_rate_t *rate, double now);
void slot_rate_observe(slot_rate_t *rate, unsigned busy, double now);
void slot_rate_add(slot_rate_t *rate, double run_seconds, double now);
double slot_rate_per_slot(slot_rate_t *rate, double now);

#endif
