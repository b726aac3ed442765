/* A server in trouble: it answers requests with bytes that are no answer. */
#ifndef DAISYPIER_TESTS_HARNESS_HOSTILE_H
#define DAISYPIER_TESTS_HARNESS_HOSTILE_H

#include <stdbool.h>
#include <stdint.h>

/* What each answer consists of; the endless ones go on until it is closed. */
typedef enum hostile_mode_t {
	HOSTILE_STATUS_LINE,  /* an endless status line */
	HOSTILE_INTERIM,      /* endless heads with status 100 */
	HOSTILE_HEADER_LINE,  /* one endless header */
	HOSTILE_HEADERS,      /* endless headers */
	HOSTILE_CHUNK_SIZE,   /* an endless extension of a chunk's size */
	HOSTILE_EVENT,	      /* one endless event */
	HOSTILE_COMMENTS,     /* endless events without number and data */
	HOSTILE_FAILURE_BODY, /* status 500 with an endless body */
	HOSTILE_ENDLESS,      /* numbered events without end */
	HOSTILE_MODES,	      /* number of the endless modes */
	HOSTILE_SECOND_COPY,  /* before an answer the previous one once more */
	HOSTILE_LATE_COPY,    /* the answer once more on the idle connection */
} hostile_mode_t;

typedef struct hostile_t hostile_t;

/* slow: an endless answer comes byte by byte. */
hostile_t *hostile_start(
    const char *ip, uint16_t port, hostile_mode_t mode, bool slow);
unsigned hostile_answers(const hostile_t *hostile);
unsigned hostile_copies(const hostile_t *hostile);
void hostile_end(hostile_t *hostile);

#endif
