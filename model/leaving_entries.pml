/*
 * How a host takes the entries that an endpoint writes to the store, when a
 * write that got no answer may be carried out late, behind others and behind
 * the removal of the entry.
 *
 * The endpoint lives once or twice. In each life it counts its writes; it may
 * say that it leaves, and its entry may expire while it lives. Its clock may be
 * set back before its second life. A living endpoint writes again, and the store
 * drops the entry of one that has left, before a host believes an entry that
 * contradicts a newer one; late writes are over by then.
 *
 * Each macro turns one mechanism off; then spin must find a violation.
 * LOG_ORDER and FORGET_AT_REMOVAL are former protocols, SECOND_ENTRY is the
 * change that was tried and reverted. LATE_AT_SET_BACK is what the protocol does
 * not cover: a write of the first life that is carried out in the second, whose
 * clock was set back, counts as a new start.
 */
#define LIVES	 2
#define LOG_SIZE 12
#ifndef LATE
#define LATE 2 /* late writes */
#endif

/* The log of the entry's key; a record without a life is a removal. */
byte log_life[LOG_SIZE];
byte log_sequence[LOG_SIZE];
bool log_leaving[LOG_SIZE];
byte log_end;

byte late_life[LATE];
byte late_sequence[LATE];
bool late_leaving[LATE];
byte late_begun;
byte late_done;

byte started[LIVES + 1]; /* the start that the entries of a life state */
bool serving;		 /* the endpoint lives and says that it is ready */
bool settled;		 /* all writes were carried out */

/* What the host knows. */
bool known;
bool removed;
byte newest_started;
byte newest_sequence;
bool waits_for_second;
bool used;
bool doubted;
byte doubted_life;
byte doubted_sequence;
bool doubted_leaving;

/* The newest statement that the host has read, and whether it is of leaving. */
byte read_life;
byte read_sequence;
byte left_life;
byte left_sequence;
bool left_by_removal;

inline append(life, sequence, leaving)
{
	d_step {
		log_life[log_end] = life;
		log_sequence[log_end] = sequence;
		log_leaving[log_end] = leaving;
		log_end++
	}
}

/* A write is carried out at once, late, or never. */
inline write(life, sequence, leaving)
{
	if
	:: append(life, sequence, leaving)
	:: late_begun < LATE ->
		d_step {
			late_life[late_begun] = life;
			late_sequence[late_begun] = sequence;
			late_leaving[late_begun] = leaving;
			late_begun++
		}
	:: skip
	fi
}

active proctype late_writes()
{
end:	do
	:: atomic {
		late_done < late_begun ->
		append(late_life[late_done], late_sequence[late_done],
		    late_leaving[late_done]);
		late_done++
	}
	od
}

active proctype endpoint()
{
	byte life = 1;
	byte sequence;

	started[1] = 2;
	do
	:: life <= LIVES ->
		sequence = 1;
		write(life, sequence, false);
		if
		:: append(0, 0, false) /* expired */
		:: skip
		fi;
		sequence++;
		write(life, sequence, false);
		if
		:: serving = true;
			break
		:: sequence++;
			write(life, sequence, true);
			append(0, 0, false)
		:: append(0, 0, false)
		fi;
		life++;
		if
		:: life <= LIVES -> started[life] = 3
		/* The clock was set back. */
#ifdef LATE_AT_SET_BACK
		:: life <= LIVES -> started[life] = 1
#else
		:: life <= LIVES && late_done == late_begun -> started[life] = 1
#endif
		:: else
		fi
	:: else -> break
	od;
	/* Late writes are over before the last word. */
	late_done == late_begun;
	if
	:: serving -> append(life, sequence + 1, false)
	:: else -> append(0, 0, false)
	fi;
	settled = true
}

#define IS_OLDER_IN_LIFE(sequence)		\
	(sequence < newest_sequence ||		\
	    (removed && sequence == newest_sequence))
#ifdef LOG_ORDER
#define IS_OLDER(life, sequence) (false)
#else
#ifdef NO_START
#define IS_OLDER(life, sequence) (known && IS_OLDER_IN_LIFE(sequence))
#else
#define IS_OLDER(life, sequence)				\
	(known && (started[life] < newest_started ||		\
	    (started[life] == newest_started &&			\
		IS_OLDER_IN_LIFE(sequence))))
#endif
#endif
#define IS_NEWER(life, sequence, than_life, than_sequence)	\
	(life > than_life ||					\
	    (life == than_life && sequence > than_sequence))
/* Whether the host has read that the endpoint left at or after a statement. */
#define HAS_LEFT_SINCE(life, sequence)				\
	(life < left_life ||					\
	    (life == left_life && (sequence < left_sequence ||	\
		(sequence == left_sequence && left_by_removal))))
/* The reverted rule: the first entry after a removal may be a late one. */
#define MUST_WAIT(life)						\
	(known && removed && !waits_for_second &&		\
	    started[life] == newest_started)

/* Uses an entry's statement; it must not be older than one that was read. */
inline take(life, sequence, leaving)
{
	known = true;
	removed = false;
	newest_started = started[life];
	newest_sequence = sequence;
	doubted = false;
	used = !leaving;
	assert(!used || !HAS_LEFT_SINCE(life, sequence))
}

inline read_entry(life, sequence, leaving)
{
	if
	:: IS_NEWER(life, sequence, read_life, read_sequence) ->
		read_life = life;
		read_sequence = sequence
	:: else
	fi;
	if
	:: leaving && IS_NEWER(life, sequence, left_life, left_sequence) ->
		left_life = life;
		left_sequence = sequence;
		left_by_removal = false
	:: else
	fi;
	if
	:: IS_OLDER(life, sequence) ->
		doubted = true;
		doubted_life = life;
		doubted_sequence = sequence;
		doubted_leaving = leaving
#ifdef SECOND_ENTRY
	:: !IS_OLDER(life, sequence) && MUST_WAIT(life) ->
		waits_for_second = true;
		newest_sequence = sequence
	:: !IS_OLDER(life, sequence) && !MUST_WAIT(life) ->
		waits_for_second = false;
		take(life, sequence, leaving)
#else
	:: else -> take(life, sequence, leaving)
#endif
	fi
}

inline read_removal()
{
	used = false;
	doubted = false;
	removed = true;
#ifdef FORGET_AT_REMOVAL
	known = false;
#endif
	if
	:: read_life > 0 ->
		left_life = read_life;
		left_sequence = read_sequence;
		left_by_removal = true
	:: else
	fi
}

active proctype host()
{
	byte next;

	do
	:: atomic {
		next < log_end ->
		if
		:: skip
		:: next = log_end - 1 /* reads the newest record only */
		fi;
		if
		:: log_life[next] == 0 -> read_removal()
		:: else ->
			read_entry(log_life[next], log_sequence[next],
			    log_leaving[next])
		fi;
		next++
	}
#ifndef NO_BELIEF
	:: atomic {
		settled && next == log_end && doubted ->
		take(doubted_life, doubted_sequence, doubted_leaving)
	}
	:: settled && next == log_end && !doubted -> break
#else
	:: settled && next == log_end -> break
#endif
	od;
#ifdef REACH
	assert(!used);
#endif
	/* An endpoint that serves is used, one that has left is not. */
	assert(used == serving)
}
