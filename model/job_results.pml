/*
 * How the results of jobs are stored when an output is longer than a record.
 *
 * Owners of a partition append records on the condition that the partition ends
 * where they have read to. Two hosts may both take themselves for the owner. An
 * append may be carried out at once, late or not at all, with or without an
 * answer. A run of an item is told apart by its host, as outputs of two runs
 * may differ. Job 0 has an item with a long output of two pieces, and one with
 * a short output; job 1 has one with a short output.
 *
 * Each macro changes one rule of the protocol; then spin must find a violation.
 * ONE_RECORD is the former protocol: a long output in one record.
 */
#define HOSTS	   2
#define FINAL_HOST 2 /* owns the partition when the disturbance is over */
#define PIECES	   2
#define POSITIONS  2 /* of job 0 */
#define NO_HOST	   255
#ifndef TRIES
#define TRIES 3 /* appends of a host */
#endif
#define FINAL_TRIES 6
/* Pieces of one append; a long output needs two. Other records are small. */
#define APPEND_PIECES 1

#define NONE  0
#define LONG  1
#define SHORT 2

/* Records that an append can hold, as bits. */
#define PIECE_0	     1
#define PIECE_1	     2
#define LONG_RESULT  4
#define SHORT_RESULT 8
#define OTHER_RESULT 16 /* of job 1 */

typedef append_t {
	byte by;
	byte expected_end;
	byte records;
	byte long_position;
	byte short_position;
}

/* The partition, as any reader rebuilds it from the records. */
byte end;
byte piece_of[POSITIONS * PIECES]; /* the host whose run made it */
byte result[POSITIONS];
byte result_of[POSITIONS];
bool other_stored;

chan appends = [2] of { append_t };
byte hosts_done;

/* A partition lists the results before the first gap. */
inline listed_count(out)
{
	out = 0;
	if
	:: result[0] != NONE -> out = 1
	:: else
	fi;
	if
	:: out == 1 && result[1] != NONE -> out = 2
	:: else
	fi
}

inline apply_piece(a, index)
{
	/* A piece of another run would change a result that was read. */
	assert(result[a.long_position] == NONE);
	piece_of[a.long_position * PIECES + index] = a.by
}

inline apply_result(position, kind, host)
{
	/* A position never changes. */
	assert(result[position] == NONE);
	/* Behind a gap, results that are numbered after it share positions. */
	assert(position == 0 || result[0] != NONE);
	result[position] = kind;
	result_of[position] = host
}

inline store_apply(a)
{
	if
	:: a.records & PIECE_0 -> apply_piece(a, 0); end++
	:: else
	fi;
	if
	:: a.records & PIECE_1 -> apply_piece(a, 1); end++
	:: else
	fi;
	if
	:: a.records & LONG_RESULT ->
		apply_result(a.long_position, LONG, a.by);
#ifndef ONE_RECORD
		/* A result is one run's whole output. */
		assert(piece_of[a.long_position * PIECES] == a.by);
		assert(piece_of[a.long_position * PIECES + 1] == a.by);
#endif
		end++
	:: else
	fi;
	if
	:: a.records & SHORT_RESULT ->
		apply_result(a.short_position, SHORT, a.by);
		end++
	:: else
	fi;
	if
	:: a.records & OTHER_RESULT -> other_stored = true; end++
	:: else
	fi
}

/* The store carries out appends all or nothing. */
inline store_append(a)
{
	if
#ifdef ONE_RECORD
	/* The store refuses a record that is too long, and all with it. */
	:: a.records & LONG_RESULT -> skip
#endif
#ifndef NO_CONDITION
	:: a.expected_end != end -> skip
#endif
	:: else -> store_apply(a)
	fi
}

active proctype store()
{
	append_t a;

	do
	:: d_step { appends?a -> store_append(a) }
	/* The append is lost. */
	:: hosts_done < HOSTS && nempty(appends) -> appends?a
	:: hosts_done == HOSTS + 1 && empty(appends) -> break
	od
}

inline add_piece(a, piece, room)
{
	a.records = a.records | piece;
	room--
}

/*
 * Chooses the records of the next append from the state of the partition. The
 * items of a job may have finished in either order.
 */
inline build_append(a, host, long_first)
{
	byte listed;
	byte room = APPEND_PIECES;
	bool has_long;
	bool has_short;
	bool whole;
	bool in_order;

	a.by = host;
	a.expected_end = end;
	a.records = 0;
	has_long = result[0] == LONG || result[1] == LONG;
	has_short = result[0] == SHORT || result[1] == SHORT;
	listed_count(listed);
	a.long_position = listed + (!has_short && !long_first -> 1 : 0);
	a.short_position = listed + (!has_long && long_first -> 1 : 0);
	if
	:: !has_short && !long_first ->
		a.records = a.records | SHORT_RESULT
	:: else
	fi;
	if
#ifdef ONE_RECORD
	:: !has_long -> a.records = a.records | LONG_RESULT
#else
	:: !has_long ->
#ifdef RESULT_FIRST
		a.records = a.records | LONG_RESULT;
#endif
#ifdef NO_COMPARISON
#define IS_STORED(k) (piece_of[a.long_position * PIECES + k] != NO_HOST)
#else
#define IS_STORED(k) (piece_of[a.long_position * PIECES + k] == host)
#endif
		if
		:: !IS_STORED(0) && room > 0 -> add_piece(a, PIECE_0, room)
		:: else
		fi;
		if
		:: !IS_STORED(1) && room > 0 -> add_piece(a, PIECE_1, room)
		:: else
		fi;
#ifndef RESULT_FIRST
		whole = IS_STORED(0) || (a.records & PIECE_0);
		whole = whole && (IS_STORED(1) || (a.records & PIECE_1));
		if
		:: whole -> a.records = a.records | LONG_RESULT
		:: else
		fi
#endif
#endif
	:: else
	fi;
	/* Behind a result that is not whole, another would leave a gap. */
	in_order = has_long || (a.records & LONG_RESULT);
#ifdef NO_ORDER
	in_order = true;
#endif
	if
	:: !has_short && long_first && in_order ->
		a.records = a.records | SHORT_RESULT
	:: else
	fi;
	if
	:: !other_stored -> a.records = a.records | OTHER_RESULT
	:: else
	fi
}

proctype owner(byte host)
{
	append_t a;
	byte tries;
	bool long_first;

	if
	:: long_first = true
	:: long_first = false
	fi;
	do
	:: tries < TRIES ->
		d_step { build_append(a, host, long_first); tries++ }
		/* Its append may be on its way when it sends the next one. */
		if
		:: a.records != 0 -> appends!a
		:: else
		fi
	:: break
	od;
	hosts_done++
}

/* Owns the partition alone, after the appends of all others. */
active proctype final_owner()
{
	append_t a;
	byte tries;
	bool long_first;

	if
	:: long_first = true
	:: long_first = false
	fi;
	hosts_done == HOSTS && empty(appends);
	do
	:: tries < FINAL_TRIES ->
		d_step { build_append(a, FINAL_HOST, long_first); tries++ }
		appends!a;
		empty(appends)
	:: else -> break
	od;
	hosts_done++;
#ifdef REACH
	assert(false);
#endif
	/* Each result is listed, and none waits for another job's. */
	assert(other_stored);
	assert(result[0] != NONE && result[1] != NONE)
}

init {
	byte i;

	for (i : 0 .. (POSITIONS * PIECES - 1)) {
		piece_of[i] = NO_HOST
	}
	run owner(0);
	run owner(1)
}
