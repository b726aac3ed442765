/*
 * Divides a server's places for connections among its clients. Answers the load
 * of part 6 of docs/design/completing-the-parts.md: 6,000 connections that send
 * no request, or only the start of one, at a host with 960 places. Performs no
 * input or output; times are monotonic seconds that the caller passes in.
 */
#ifndef DAISYPIER_PLACE_TABLE_H
#define DAISYPIER_PLACE_TABLE_H

#include <sys/queue.h>

#include "str.h"

typedef enum place_state_t {
	PLACE_WAITING, /* no request, or its head is not complete */
	PLACE_READING, /* the body of a request is being read */
	PLACE_BUSY,    /* a complete request is in progress */
	PLACE_LEAVING, /* closed, but not yet released by the server */
} place_state_t;

typedef struct place_table_t place_table_t;
typedef struct place_share_t place_share_t;

/* A connection. The fields are private to the table, except ctx. */
typedef struct place_t {
	place_share_t *share; /* of its address */
	place_share_t *org;   /* of its request, or NULL */
	place_state_t state;
	bool served;	     /* a request has been completed */
	double silent_since; /* last byte, or last response */
	void *ctx;
	TAILQ_ENTRY(place_t) entry;	  /* all of this state */
	TAILQ_ENTRY(place_t) share_entry; /* waiting, of this address */
} place_t;

place_table_t *place_table_new(unsigned limit);
void place_table_delete(place_table_t *table);
unsigned place_table_capacity(const place_table_t *table);

void place_enter(
    place_table_t *table, place_t *place, const char *address, double now);
void place_leave(place_table_t *table, place_t *place);
void place_set_state(
    place_table_t *table, place_t *place, place_state_t state, double now);
void place_heard(place_table_t *table, place_t *place, double at);

bool place_table_is_short(const place_table_t *table);
bool place_may_begin(const place_table_t *table, const place_t *place);
bool place_begin_for(place_table_t *table, place_t *place, str_t org);
place_t *place_table_waiting(const place_table_t *table, const place_t *except);
place_t *place_table_stalled(const place_table_t *table, double now);
place_t *place_table_idle(const place_table_t *table, double now);

#endif
