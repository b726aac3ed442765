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
	HOSTILE_BODY,	      /* a success with an endless body of text */
	HOSTILE_ENDLESS,      /* numbered events without end */
	HOSTILE_MODES,	      /* number of the endless modes */
	HOSTILE_SECOND_COPY,  /* before an answer the previous one once more */
	HOSTILE_LATE_COPY,    /* the answer once more on the idle connection */
	/*
	 * Refuses the first request of each connection. Before later answers it
	 * sends that refusal once more: without an id, with the id of the
	 * refused request, or only if the refused request itself comes again.
	 */
	HOSTILE_OLD_REFUSAL_WITHOUT_ID,
	HOSTILE_OLD_REFUSAL,
	HOSTILE_OLD_REFUSAL_OF_RETRY,
	/* Fails each request once; before its next answer comes a copy. */
	HOSTILE_OLD_FAILURE,
	HOSTILE_BREAK,	   /* the first two events, then it closes */
	HOSTILE_TORN_END,  /* without a length, in the middle of the third event
			    */
	HOSTILE_EMPTY_END, /* a head without a length, then it closes */
	HOSTILE_HEAD_WITHOUT_END, /* the lines of a head, then it closes */
	HOSTILE_TORN_HEAD,   /* it closes in the middle of a line of the head */
	HOSTILE_TWO_HEADS,   /* a failure's status line stops, a success follows
			      */
	HOSTILE_TWO_LENGTHS, /* the second one is that of a part of the body */
	HOSTILE_ERROR_500,   /* signed errors with a body of text */
	HOSTILE_ERROR_404,
	HOSTILE_ERROR_TEXT, /* text where events are due, with status 200 */
	HOSTILE_STRAY,	    /* right answers, and stray bytes beside them */
	/* Before a request's body is read: a part of its answer, then ... */
	HOSTILE_EARLY_RESET, /* a reset */
	HOSTILE_EARLY_CLOSE, /* an orderly end, then a reset */
	/* Whole answers with these for a status. */
	HOSTILE_STATUS_000,
	HOSTILE_STATUS_099,
	HOSTILE_STATUS_600,
	HOSTILE_STATUS_999,
} hostile_mode_t;

/* Bytes that a server sends besides its right answers. */
typedef enum stray_kind_t {
	STRAY_COPY,	       /* the previous answer once more */
	STRAY_TORN_HEAD,       /* the first part of its head */
	STRAY_TORN_BODY,       /* its head and the first part of its body */
	STRAY_TORN_STATUS,     /* the first part of a failure's status line */
	STRAY_TORN_HEADER,     /* a failure's head, up to its first header */
	STRAY_TORN_SIGNATURE,  /* a success's head, up to its signature */
	STRAY_FAILURE,	       /* a whole failure without an id */
	STRAY_REJECTION,       /* the same with status 422 */
	STRAY_NO_CONTENT,      /* status 204 without an id */
	STRAY_UNSIGNED,	       /* an empty success with the request's id */
	STRAY_EMPTY_SIGNATURE, /* the same with an empty signature */
	STRAY_EMPTY,	       /* the same, signed */
	STRAY_EMPTY_CHUNKED,   /* the same in chunks */
	STRAY_BLANK_BODY,      /* the same with blank lines as its body */
	STRAY_COMMENT_BODY,    /* the same with a comment as its body */
	STRAY_INTERIM,	       /* 100 Continue */
	STRAY_BLANK_LINES,
	STRAY_KINDS, /* number of values */
} stray_kind_t;

typedef struct stray_t {
	stray_kind_t kind;
	bool late;   /* after an answer; otherwise before the next one */
	bool closes; /* the connection ends with these bytes */
} stray_t;

typedef struct hostile_t hostile_t;

/* slow: an endless answer comes byte by byte. */
hostile_t *hostile_start(
    const char *ip, uint16_t port, hostile_mode_t mode, bool slow);
/* What a server in mode HOSTILE_STRAY sends from now on. */
void hostile_set_stray(hostile_t *hostile, stray_t stray);
unsigned hostile_answers(const hostile_t *hostile);
unsigned hostile_copies(const hostile_t *hostile);
unsigned hostile_resumed(const hostile_t *hostile);
bool hostile_has_run(hostile_t *hostile, const char *id);
void hostile_end(hostile_t *hostile);

#endif
