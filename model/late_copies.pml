/*
 * How the owner of an item counts failures when an endpoint may send a response
 * once more, late, on the connection that carried it.
 *
 * The endpoint's first run of the item fails, later runs succeed. The item's
 * request id is the same in all runs, so a response does not tell which run it
 * belongs to. An item is given up after two failures. Its partition may move to
 * another host and back between two attempts; connections are kept meanwhile.
 *
 * Each macro turns one mechanism off; then spin must find a violation.
 * KEPT_CONNECTION is the former protocol.
 */
#define HOSTS	     2
#define MAX_FAILURES 2
#ifndef MOVES
#define MOVES 2 /* of the partition */
#endif
#ifndef ATTEMPTS
#define ATTEMPTS 4
#endif

bool connection_kept[HOSTS];
bool copy_may_come[HOSTS]; /* of the failure, on the kept connection */
bool tried[HOSTS];	   /* the host knows of an attempt at the endpoint */
byte owner;
byte runs;
byte failures_sent;    /* by the endpoint, without copies */
byte failures_counted; /* handed over with the item */
bool done;

inline attempt()
{
	if
#ifndef KEPT_CONNECTION
	:: tried[owner] ->
		connection_kept[owner] = false;
		copy_may_come[owner] = false
#endif
	:: else
	fi;
	runs++;
	tried[owner] = true;
	if
	/* The copy is read before the response of this run. */
	:: connection_kept[owner] && copy_may_come[owner] ->
		failures_counted++;
		connection_kept[owner] = false;
		copy_may_come[owner] = false
	:: runs == 1 ->
		failures_sent++;
		failures_counted++;
		connection_kept[owner] = true;
		copy_may_come[owner] = true
	:: runs > 1 ->
		connection_kept[owner] = true;
		done = true
	fi
}

active proctype item()
{
	byte moves;

	do
	:: done || failures_counted == MAX_FAILURES || runs == ATTEMPTS -> break
	:: else ->
		if
		:: attempt()
		:: moves < MOVES ->
			moves++;
#ifdef FORGOTTEN_ATTEMPTS
			tried[owner] = false;
#endif
			owner = 1 - owner
		fi
	od;
#ifdef REACH
	assert(!done);
#endif
	/* No item is given up for failures that the endpoint did not have. */
	assert(failures_counted == failures_sent)
}
