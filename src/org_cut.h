/* How the limits are divided while the hosts that keep the buckets are cut. */
#ifndef DAISYPIER_ORG_CUT_H
#define DAISYPIER_ORG_CUT_H

#include <stdbool.h>
#include <stddef.h>

/* What one of the two hosts that keep buckets knows of the other one. */
typedef struct org_cut_t {
	bool lost;	 /* an answer of the other host is missing */
	bool gone;	 /* no process listens at its address */
	double lost_at;	 /* when the last one was missed */
	double heard_at; /* when the other one sent a message; 0: never */
	size_t side;	 /* hosts on this side by the last poll; 0: none yet */
} org_cut_t;

/* What a host sees of its site. */
typedef struct org_cut_view_t {
	bool deputy;	/* this host does not admit */
	bool suspected; /* membership does not see the other one as alive */
	size_t hosts;	/* of the site, dead ones included */
	size_t alive;	/* and not suspected, this host included */
	size_t asking;	/* hosts that ask this one as the deputy */
} org_cut_view_t;

void org_cut_reset(org_cut_t *cut);
void org_cut_heard(org_cut_t *cut, double now);
void org_cut_check(org_cut_t *cut, double now);
void org_cut_missed(org_cut_t *cut, bool gone, double now);
void org_cut_answered(org_cut_t *cut);
void org_cut_polled(org_cut_t *cut, size_t side);
double org_cut_share(const org_cut_t *cut, const org_cut_view_t *view);

#endif
