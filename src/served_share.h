/* Fraction of the recent requests of a group that got a slot. */
#ifndef DAISYPIER_SERVED_SHARE_H
#define DAISYPIER_SERVED_SHARE_H

#define SERVED_SHARE_BUCKETS 10

typedef struct served_share_t {
	struct {
		unsigned demand;
		unsigned served;
	} buckets[SERVED_SHARE_BUCKETS];
	unsigned demand; /* sums over the buckets */
	unsigned served;
	long long bucket; /* number of the current one since time 0 */
} served_share_t;

void served_share_add_demand(served_share_t *share, double now);
void served_share_add_served(served_share_t *share, double now);
double served_share_fraction(served_share_t *share, double now);
unsigned served_share_deficit(
    served_share_t *share, served_share_t *all, double now);

#endif
