/*
 * How the limits are divided while the admitting host and its deputy do not
 * reach each other, or some hosts do not reach the admitting host. This module
 * does no I/O and reads no clock.
 *
 * Load pattern: the link between two living hosts is cut, and an organisation
 * sends several times its limit to hosts on both sides. Membership declares
 * neither dead, because other hosts reach both.
 */
#include "org_cut.h"

/*
 * The other host tells something in each slot of 0.25 s. If it told nothing for
 * this time, its messages are lost although its answers arrive.
 */
#define SILENCE_S 1.0

/* To be called when the other host, or the role of this one, changes. */
void
org_cut_reset(org_cut_t *cut)
{
	*cut = (org_cut_t){0};
}

/* The other host told what it gave. */
void
org_cut_heard(org_cut_t *cut, double now)
{
	cut->heard_at = now;
}

/*
 * The other host did not answer in time, or is gone: its address answers that
 * no process listens there.
 */
void
org_cut_missed(org_cut_t *cut, bool gone, double now)
{
	if (!cut->lost)
		cut->side = 0;
	cut->lost = true;
	cut->gone = gone;
	cut->lost_at = now;
}

/* Notices that the other host, which told something before, is silent. */
void
org_cut_check(org_cut_t *cut, double now)
{
	if (cut->heard_at > 0 && now - cut->heard_at > SILENCE_S)
		org_cut_missed(cut, cut->gone, now);
}

/*
 * The other host answered. The cut is over only after it has also told what it
 * gave meanwhile, or the full limit would be given beside that. A host that
 * never told anything, such as one of an older version, is not waited for.
 */
void
org_cut_answered(org_cut_t *cut)
{
	if (cut->heard_at > 0 && cut->heard_at <= cut->lost_at)
		return;
	cut->lost = false;
	cut->side = 0;
}

/*
 * Sets how many hosts are on this side, itself included: for the admitting host
 * those that it reaches, for the deputy those that it reaches and that do not
 * reach the admitting host.
 */
void
org_cut_polled(org_cut_t *cut, size_t side)
{
	cut->side = side;
}

/* Returns how many hosts of the site the admitting host may serve. */
static size_t
count_for_admitting(const org_cut_t *cut, const org_cut_view_t *view)
{
	if (cut->side > 0)
		return (cut->side);
	/* All but the other one, if membership sees that as alive. */
	return (view->alive > 1 && !view->suspected ? view->alive - 1
						    : view->alive);
}

/*
 * Returns the share of the limits that this host may give; 1: no restriction.
 *
 * The admitting host gives the share of the hosts that it reaches. The deputy
 * gives the share of the hosts that do not reach the admitting host: those that
 * ask it, or say so when it polls them. A host counts on one side only, so the
 * sum is at most 1. If the process of the admitting host is gone, and nobody is
 * known to reach it, there is no cut.
 */
double
org_cut_share(const org_cut_t *cut, const org_cut_view_t *view)
{
	size_t count;

	if (!cut->lost && (!view->deputy || view->asking == 0))
		return (1);
	if (view->deputy && cut->lost && cut->gone &&
	    (view->suspected || view->asking + 1 >= view->hosts))
		return (1);
	if (!view->deputy)
		count = count_for_admitting(cut, view);
	else
		count = cut->lost && cut->side > view->asking ? cut->side
							      : view->asking;
	if (count >= view->hosts)
		return (1);
	return (count > 0 ? (double)count / (double)view->hosts
			  : 1 / (double)view->hosts);
}
