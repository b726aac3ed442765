/*
 * The protocol of one shard: ownership by log order, group commit with
 * read-back, cancellation, snapshots with retention, and intents.
 *
 * Two hosts share one log. Every append may take effect with or without an
 * answer, take effect late, or get lost. A host may stand still between any two
 * steps, so its view of the log may be old whenever it acts. A record's effect
 * depends only on the records before it; the view with the index TRUTH applies
 * every record when it enters the log, and the assertions refer to it.
 *
 * CFG selects a part of the protocol: JOBS, CANCEL, SNAPSHOT or INTENT. Each
 * NO_... macro turns one mechanism off; then spin must find a violation.
 */
#define JOBS	 1
#define CANCEL	 2
#define SNAPSHOT 3
#define INTENT	 4
#ifndef CFG
#define CFG JOBS
#endif
#ifndef LOGMAX
#define LOGMAX 7
#endif
#ifndef CLAIMS
#define CLAIMS 3
#endif
/* Appends that are on their way and may take effect late, in any order. */
#ifndef LATE
#define LATE 2
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif

#ifndef EXPIRIES
#define EXPIRIES 2
#endif
#ifndef SNAPSHOTS
#define SNAPSHOTS 2
#endif

#define TRUTH 2

/* Record kinds. */
#define R_CLAIM	     1
#define R_BATCH	     2
#define R_SNAP_BEGIN 3
#define R_SNAP_END   4

/* Entries of a batch; a batch carries one. */
#define E_NONE	 0
#define E_JOB	 1 /* of the request at host 0; 2: at host 1 */
#define E_DONE	 3
#define E_VOID	 4
#define E_CANCEL 5
#define E_START	 6
#define E_INTENT 8 /* plus the request's identifier */

typedef record_t {
	byte kind;
	byte epoch; /* claim's offset; 0 in a claim */
	byte seq;   /* snapshot: its identifier */
	byte entry; /* claim: host; SNAP_END: state */
	byte covered;
	byte covered_seq
}

/* What somebody knows after reading the log up to an offset. */
typedef view_t {
	byte read;
	byte epoch;
	byte owner; /* host, with its process's number in CFG INTENT */
	byte seq;
	bit job;
	bit done;
	bit cancelled;
	byte intent; /* request that may run; 0: none */
	bit known    /* the state is complete up to read */
}

record_t records[LOGMAX + 1]; /* by offset, from 1 */
byte newest = 0;
byte first = 1; /* oldest offset that is still retained */
record_t late[LATE];
view_t view[3];

byte claims = 0;
byte own[2];	   /* epoch of the own claim while it is the newest read */
byte pending[2];   /* entry in flight */
byte pending_epoch[2];
byte pending_seq[2];
bit answered[2];   /* the append in flight was answered */

/* Requests: 0 not sent, 1 waiting, 2 answered. */
byte request[2];
bit not_run[2];
bit attempted[2]; /* an append for the request may have left the host */
bit cancel_acknowledged = 0;
bit lease[2];
byte process[2]; /* number of the host's process */
byte restarts = 0;
byte runs = 0;
byte snapshot_step[2];
byte snapshot_state[2];
byte snapshot_id = 0;
byte expiries = 0;

hidden byte i;
hidden byte j;
hidden byte best;
hidden byte effective;
hidden record_t r;

#if CFG == INTENT
#define IDENTITY(h) (h + 2 * process[h])
#else
#define IDENTITY(h) (h)
#endif

/*
 * With REACH the model fails where it has reached its goal, which shows that
 * the assertions are not true for want of anything that happens.
 */
#ifdef REACH
#define REACHED assert(false)
#else
#define REACHED skip
#endif

/* Conditions that a macro turns off. */
#ifdef NO_COVERED_RULE
#define LEAVES_NO_GAP(b) true
#else
#define LEAVES_NO_GAP(b) (records[b].covered + 1 >= first)
#endif
#ifdef NO_COMPLETE_RULE
#define IS_COMPLETE(e) true
#else
#define IS_COMPLETE(e) (e <= newest)
#endif
#ifdef NO_TAKEOVER_WAIT
#define LEASES_RAN_OUT(h) true
#else
#define LEASES_RAN_OUT(h) (!lease[1 - h])
#endif
#ifdef NO_FRESH_READ
#define HAS_FRESH_READ(h) true
#else
#define HAS_FRESH_READ(h) (lease[h])
#endif
#if defined(NO_INTENT)
#define MAY_RUN(h) (own[h] != 0 && view[h].intent == 0)
#elif defined(NO_REQUEST_CHECK)
#define MAY_RUN(h) (view[h].intent != 0 && (view[h].intent - 1) % 2 == h)
#else
#define MAY_RUN(h) (view[h].intent == 1 + IDENTITY(h))
#endif
#define IS_NEWER(a, b) \
	(records[a].epoch > records[b].epoch || \
	(records[a].epoch == records[b].epoch && \
	records[a].covered > records[b].covered))

/*
 * A batch is effective when its epoch is the newest claim and its number is the
 * next one.
 */
inline decide(v, at)
{
#if defined(NO_FENCING)
	effective = records[at].epoch != view[v].epoch ||
	    records[at].seq == view[v].seq + 1;
#elif defined(NO_SEQ)
	effective = records[at].epoch == view[v].epoch;
#else
	effective = records[at].epoch == view[v].epoch &&
	    records[at].seq == view[v].seq + 1;
#endif
}

inline apply(v, at)
{
	effective = 0;
	if
	:: records[at].kind == R_CLAIM ->
		view[v].epoch = at;
		view[v].owner = records[at].entry;
		view[v].seq = 0
	:: records[at].kind == R_BATCH ->
		decide(v, at);
		if
		:: effective ->
			if
			:: records[at].epoch == view[v].epoch ->
				view[v].seq = records[at].seq
			:: else
			fi;
			if
			:: records[at].entry == E_JOB ||
			    records[at].entry == E_JOB + 1 -> view[v].job = 1
			:: records[at].entry == E_DONE -> view[v].done = 1
			:: records[at].entry == E_CANCEL ->
				view[v].cancelled = 1
			:: records[at].entry > E_INTENT &&
			    view[v].intent == 0 ->
				view[v].intent = records[at].entry - E_INTENT
			:: else
			fi
		:: else
		fi
	:: else
	fi;
	view[v].read = at
}

/* Appends r to the log and checks what must hold for its effect. */
inline put()
{
	newest++;
	records[newest].kind = r.kind;
	records[newest].epoch = r.epoch;
	records[newest].seq = r.seq;
	records[newest].entry = r.entry;
	records[newest].covered = r.covered;
	records[newest].covered_seq = r.covered_seq;
	if
	:: r.kind == R_BATCH ->
		decide(TRUTH, newest);
		/* No item completes twice. */
		assert(!(effective && r.entry == E_DONE && view[TRUTH].done));
		/* A job that is sent twice is accepted once. */
		assert(!(effective && (r.entry == E_JOB ||
		    r.entry == E_JOB + 1) && view[TRUTH].job));
		/* A request that was reported as not run is not accepted. */
		assert(!(effective && r.entry == E_JOB && not_run[0]));
		assert(!(effective && r.entry == E_JOB + 1 && not_run[1]));
		/* No non-repeatable item starts after an effective cancel. */
		assert(!(effective && r.entry == E_START &&
		    view[TRUTH].cancelled))
	:: else
	fi;
	apply(TRUTH, newest)
}

inline send(h)
{
	if
	:: newest < LOGMAX -> put(); answered[h] = 1
	:: newest < LOGMAX -> put(); answered[h] = 0
	:: late[0].kind == 0 && newest < LOGMAX ->
		late[0].kind = r.kind;
		late[0].epoch = r.epoch;
		late[0].seq = r.seq;
		late[0].entry = r.entry;
		late[0].covered = r.covered;
		late[0].covered_seq = r.covered_seq;
		answered[h] = 0
#if LATE > 1
	:: late[0].kind != 0 && late[1].kind == 0 && newest < LOGMAX ->
		late[1].kind = r.kind;
		late[1].epoch = r.epoch;
		late[1].seq = r.seq;
		late[1].entry = r.entry;
		late[1].covered = r.covered;
		late[1].covered_seq = r.covered_seq;
		answered[h] = 0
#endif
	:: answered[h] = 0 /* lost */
	fi
}

inline clear_r()
{
	r.kind = 0;
	r.epoch = 0;
	r.seq = 0;
	r.entry = 0;
	r.covered = 0;
	r.covered_seq = 0
}

inline send_claim(h)
{
	clear_r();
	r.kind = R_CLAIM;
	r.entry = IDENTITY(h);
	send(h)
}

inline send_pending(h)
{
	clear_r();
	r.kind = R_BATCH;
	r.epoch = pending_epoch[h];
	r.seq = pending_seq[h];
	r.entry = pending[h];
	send(h)
}

inline forget(h)
{
	view[h].read = 0;
	view[h].epoch = 0;
	view[h].owner = 0;
	view[h].seq = 0;
	view[h].job = 0;
	view[h].done = 0;
	view[h].cancelled = 0;
	view[h].intent = 0;
	view[h].known = 0;
	own[h] = 0;
	lease[h] = 0;
	pending[h] = 0;
	pending_epoch[h] = 0;
	pending_seq[h] = 0;
	answered[h] = 0;
	snapshot_step[h] = 0;
	snapshot_state[h] = 0
}

/*
 * A fresh reader of a log whose beginning has expired: the complete snapshot
 * with the highest epoch, then the highest covered offset, that leaves no gap.
 */
inline read_snapshot(h)
{
	best = 0;
	i = first;
	do
	:: i <= newest ->
		if
		:: records[i].kind == R_SNAP_BEGIN && LEAVES_NO_GAP(i) ->
			j = i + 1;
			do
			:: j <= newest && !(records[j].kind == R_SNAP_END &&
			    records[j].epoch == records[i].epoch &&
			    records[j].seq == records[i].seq) -> j++
			:: else -> break
			od;
			if
			:: IS_COMPLETE(j) &&
			    (best == 0 || IS_NEWER(i, best)) ->
				best = i;
				view[h].epoch = records[i].epoch;
				view[h].owner = records[i].entry;
#ifdef NO_SNAPSHOT_SEQ
				view[h].seq = 0;
#else
				view[h].seq = records[i].covered_seq;
#endif
#ifdef NO_APPLY_AFTER_COVERED
				view[h].read = i;
#else
				view[h].read = records[i].covered;
#endif
				view[h].job = 0;
				view[h].done = 0;
				if
				:: j <= newest ->
					view[h].job = records[j].entry & 1;
					view[h].done = records[j].entry >> 1
				:: else
				fi
			:: else
			fi
		:: else
		fi;
		i++
	:: else -> break
	od;
	j = 0;
	view[h].known = best != 0;
	if
	:: best != 0 && claims > 0 -> REACHED
	:: else
	fi
}

/* Reads to the end of the log and draws the conclusions. */
inline read_log(h)
{
	if
	:: view[h].known && view[h].read + 1 < first ->
#ifdef NO_GAP_CHECK
		view[h].read = first - 1
#else
		forget(h)
#endif
	:: else
	fi;
	if
	:: !view[h].known && first == 1 -> view[h].known = 1
	:: !view[h].known && first > 1 -> read_snapshot(h)
	:: else
	fi;
	do
	:: view[h].known && view[h].read < newest && first <= newest ->
		best = view[h].read + 1;
		if
		:: best < first -> best = first /* the others are gone */
		:: else
		fi;
		apply(h, best)
	:: else -> break
	od;
	if
	:: view[h].known && view[h].epoch != 0 &&
	    view[h].owner == IDENTITY(h) ->
		own[h] = view[h].epoch;
		lease[h] = CFG == CANCEL
	:: else ->
		own[h] = 0;
		lease[h] = 0
	fi;
	if
	:: pending[h] != 0 && (own[h] != pending_epoch[h] ||
	    view[h].seq >= pending_seq[h]) ->
		/* Ruled out by a newer claim, or effective. */
		if
		:: own[h] != pending_epoch[h] && request[h] == 1 &&
		    !view[h].job && CFG == JOBS ->
			request[h] = 2 /* unknown */
		:: pending[h] == E_VOID && own[h] == pending_epoch[h] &&
		    !view[h].job && request[h] == 1 ->
			request[h] = 2;
			not_run[h] = 1
		:: else
		fi;
		pending[h] = 0;
		pending_epoch[h] = 0;
		pending_seq[h] = 0;
		answered[h] = 0
	:: else
	fi;
	/* A reader that claims to know the state knows the true one. */
	assert(!view[h].known || (view[h].epoch == view[TRUTH].epoch &&
	    view[h].seq == view[TRUTH].seq &&
	    view[h].job == view[TRUTH].job &&
	    view[h].done == view[TRUTH].done &&
	    view[h].cancelled == view[TRUTH].cancelled &&
	    view[h].intent == view[TRUTH].intent));
	i = 0;
	j = 0;
	best = 0;
	effective = 0
}

#define MAY_COMMIT(h) \
	(own[h] != 0 && pending[h] == 0 && snapshot_step[h] == 0)

inline commit(h, entry_value)
{
	pending[h] = entry_value;
	pending_epoch[h] = own[h];
	pending_seq[h] = view[h].seq + 1;
	send_pending(h)
}

proctype host(byte h)
{
	do
	/* Also without new records: a read renews the lease. */
	:: atomic { view[h].read < newest || !view[h].known ||
	    (CFG == CANCEL && own[h] != 0 && lease[h] == 0) ||
	    view[h].read + 1 < first -> read_log(h) }
	:: atomic { view[h].known && own[h] == 0 && claims < CLAIMS &&
	    newest < LOGMAX -> claims++; send_claim(h) }
	/* The answer got lost: the same batch again. */
	:: atomic { pending[h] != 0 && !answered[h] && newest < LOGMAX ->
	    send_pending(h) }

#if CFG == JOBS
	/* The caller sends the job, and sends it again to the other host. */
	:: atomic { request[h] == 0 && (h == 0 || request[0] != 0) ->
	    request[h] = 1 }
	:: atomic { request[h] == 1 && MAY_COMMIT(h) && !view[h].job ->
	    attempted[h] = 1; commit(h, E_JOB + h) }
	:: atomic { request[h] == 1 && view[h].job ->
	    /* No acknowledged job is lost. */
	    assert(view[TRUTH].job); request[h] = 2;
	    if
	    :: view[h].done && view[h].owner != 0 -> REACHED
	    :: else
	    fi }
#ifdef NO_READ_BACK
	:: atomic { request[h] == 1 && pending[h] == E_JOB + h &&
	    answered[h] -> assert(view[TRUTH].job); request[h] = 2 }
#endif
	/* No append was attempted: not accepted for certain. */
	:: atomic { request[h] == 1 && !attempted[h] ->
	    request[h] = 2; not_run[h] = 1 }
#ifdef NO_VOID
	:: atomic { request[h] == 1 && pending[h] == E_JOB + h &&
	    !answered[h] -> request[h] = 2; not_run[h] = 1 }
#else
	/* Rules the job out by another batch with the same number. */
	:: atomic { request[h] == 1 && pending[h] == E_JOB + h &&
	    !answered[h] && newest < LOGMAX -> pending[h] = E_VOID;
	    send_pending(h) }
#endif
	:: atomic { MAY_COMMIT(h) && view[h].job && !view[h].done ->
	    commit(h, E_DONE) }
#endif

#if CFG == CANCEL
	:: atomic { MAY_COMMIT(h) && !view[h].cancelled ->
	    commit(h, E_CANCEL) }
	:: atomic { MAY_COMMIT(h) && !view[h].cancelled && !view[h].done ->
	    commit(h, E_START) }
	/*
	 * A host answers a cancel when it has read it back and every lease
	 * from before its claim has run out: owner_check_ms and the clock error
	 * after it read its claim back. Without the wait the previous owner may
	 * still start items after the answer.
	 */
	:: atomic { own[h] != 0 && view[h].cancelled &&
	    !cancel_acknowledged && LEASES_RAN_OUT(h) ->
	    assert(view[TRUTH].cancelled); cancel_acknowledged = 1;
	    if
	    :: claims > 1 -> REACHED
	    :: else
	    fi }
#ifdef NO_READ_BACK
	:: atomic { pending[h] == E_CANCEL && answered[h] && !lease[1 - h] ->
	    assert(view[TRUTH].cancelled); cancel_acknowledged = 1 }
#endif
	/* A repeatable item starts without a record. */
	:: atomic { own[h] != 0 && !view[h].cancelled && HAS_FRESH_READ(h) ->
	    assert(!cancel_acknowledged) }
#endif

#if CFG == SNAPSHOT
	:: atomic { MAY_COMMIT(h) && view[h].job && !view[h].done ->
	    commit(h, E_DONE) }
	:: atomic { MAY_COMMIT(h) && snapshot_id < SNAPSHOTS && newest < LOGMAX ->
	    snapshot_id++;
	    clear_r();
	    r.kind = R_SNAP_BEGIN;
	    r.epoch = own[h];
	    r.seq = snapshot_id;
	    r.entry = h;
	    r.covered = view[h].read;
	    r.covered_seq = view[h].seq;
	    snapshot_step[h] = snapshot_id;
	    snapshot_state[h] = view[h].job + 2 * view[h].done;
	    pending_epoch[h] = own[h];
	    send(h); answered[h] = 0 }
	:: atomic { snapshot_step[h] != 0 && newest < LOGMAX ->
	    clear_r();
	    r.kind = R_SNAP_END;
	    r.epoch = pending_epoch[h];
	    r.seq = snapshot_step[h];
	    r.entry = snapshot_state[h];
	    snapshot_step[h] = 0;
	    snapshot_state[h] = 0;
	    pending_epoch[h] = 0;
	    send(h); answered[h] = 0 }
	/* Another process takes the host's place and knows nothing. */
	:: atomic { view[h].known && restarts < RESTARTS -> restarts++;
	    forget(h) }
#endif

#if CFG == INTENT
	/* The caller sends the request, and sends it again elsewhere. */
	:: atomic { request[h] == 0 && (h == 0 || request[0] != 0) ->
	    request[h] = 1 }
	:: atomic { request[h] == 1 && MAY_COMMIT(h) &&
	    view[h].intent == 0 ->
	    commit(h, E_INTENT + 1 + IDENTITY(h)) }
	/* Only the request that the first effective intent names may run. */
	:: atomic { request[h] == 1 && MAY_RUN(h) -> request[h] = 2; runs++;
	    /* At most one run for a key. */
	    assert(runs <= 1);
	    if
	    :: claims > 1 -> REACHED
	    :: else
	    fi }
#ifdef NO_READ_BACK
	:: atomic { request[h] == 1 && pending[h] > E_INTENT && answered[h] ->
	    request[h] = 2; runs++; assert(runs <= 1) }
#endif
	/* Refused: somebody else may run it or has run it. */
	:: atomic { request[h] == 1 && view[h].intent != 0 &&
	    view[h].intent != 1 + IDENTITY(h) -> request[h] = 2 }
	/*
	 * The host's process dies and another one takes its place; the caller
	 * sends the request to it again.
	 */
	:: atomic { restarts < RESTARTS && request[h] != 0 -> restarts++;
	    forget(h); process[h]++; request[h] = 0 }
#endif
	od
}

/* Late appends, expiry of records, and the passing of time. */
proctype environment()
{
	do
	:: atomic { late[0].kind != 0 && newest < LOGMAX ->
	    r.kind = late[0].kind;
	    r.epoch = late[0].epoch;
	    r.seq = late[0].seq;
	    r.entry = late[0].entry;
	    r.covered = late[0].covered;
	    r.covered_seq = late[0].covered_seq;
	    late[0].kind = 0;
	    late[0].epoch = 0;
	    late[0].seq = 0;
	    late[0].entry = 0;
	    late[0].covered = 0;
	    late[0].covered_seq = 0;
	    put() }
#if LATE > 1
	:: atomic { late[1].kind != 0 && newest < LOGMAX ->
	    r.kind = late[1].kind;
	    r.epoch = late[1].epoch;
	    r.seq = late[1].seq;
	    r.entry = late[1].entry;
	    r.covered = late[1].covered;
	    r.covered_seq = late[1].covered_seq;
	    late[1].kind = 0;
	    late[1].epoch = 0;
	    late[1].seq = 0;
	    late[1].entry = 0;
	    late[1].covered = 0;
	    late[1].covered_seq = 0;
	    put() }
#endif
#if CFG == SNAPSHOT
	/* Some of the oldest records expire, or all of them. */
	:: atomic { first <= newest && expiries < EXPIRIES -> expiries++;
	    first++;
	    do
	    :: first <= newest -> first++
	    :: break
	    od }
#endif
#if CFG == CANCEL
	:: atomic { lease[0] -> lease[0] = 0 }
	:: atomic { lease[1] -> lease[1] = 0 }
#endif
	od
}

init
{
	atomic {
		view[0].known = 1;
		view[1].known = 1;
		view[TRUTH].known = 1;
#if CFG == SNAPSHOT
		/* Host 0 has claimed the shard and accepted a job. */
		r.kind = R_CLAIM;
		put();
		r.kind = R_BATCH;
		r.epoch = 1;
		r.seq = 1;
		r.entry = E_JOB;
		put();
		read_log(0);
#endif
#if CFG == CANCEL
		/* An accepted job that nobody owns yet. */
		view[0].job = 1;
		view[1].job = 1;
		view[TRUTH].job = 1;
#endif
		run host(0);
		run host(1);
		run environment()
	}
}
