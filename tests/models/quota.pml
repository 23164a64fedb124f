/* Model of a team's limit that is divided into parts, one for each of two shares. Any of three controllers may own a
 * share. One record in the store holds the parts and the amount that is unassigned.
 *
 * A controller decides from its mirror of the store, which may be outdated, and sends one transaction at a time. Either
 * the transaction is answered, or its answer is lost; then it is executed at any later time, or never. At most one such
 * transaction is in flight at a time. A controller may take over a share at any time, without the previous owner's
 * knowledge. OWNERSHIP_CHANGES_MAX bounds takeovers and barriers, PART_CHANGES_MAX bounds changes of parts.
 *
 * Asserted after each transaction: the bookings of both shares are within the limit, and those of each share are within
 * its part.
 *
 * Each of these defines removes one condition of the protocol, so that an assertion must be violated:
 *   NO_SHARE_CONDITION  a change of a part doesn't compare the stamp of its share
 *   NO_RECORD_CONDITION a change of a part doesn't compare the stamp of the record
 *   NO_BARRIER          after a lost answer the owner continues as if the transaction had failed
 *   NO_CATCH_UP         after a refusal that may have been caused by a duplicate of its own transaction, the owner
 *                       continues without reading the store again */

#define SHARES 2
#define OWNERS 3
#define LIMIT 2
#define OWNERSHIP_CHANGES_MAX 3
#define PART_CHANGES_MAX 3

mtype = { NOTHING, BOOK, RELEASE, LOWER, RAISE, BARRIER };

typedef transaction {
  mtype kind;
  byte share, share_stamp, record_stamp, part, unassigned
};

/* The store. */
byte owner[SHARES], share_stamp[SHARES] = 1, booked[SHARES], part[SHARES];
byte unassigned, record_stamp = 1;
byte ownership_changes, part_changes;
transaction in_flight; /* the transaction in flight whose answer was lost */

/* A controller's mirror of the share that it owns. */
typedef mirror {
  byte share, stamp, booked, part, unassigned, record;
  bool owns, in_doubt
};
mirror mirrors[OWNERS];

/* Clears variables that are no longer used, so that states that differ only in them are the same. */
inline clear_mirror(c) {
  mirrors[c].share = 0;
  mirrors[c].stamp = 0;
  mirrors[c].booked = 0;
  mirrors[c].part = 0;
  mirrors[c].unassigned = 0;
  mirrors[c].record = 0;
  mirrors[c].owns = false;
  mirrors[c].in_doubt = false
}

inline clear_transaction(t) {
  t.kind = NOTHING;
  t.share = 0;
  t.share_stamp = 0;
  t.record_stamp = 0;
  t.part = 0;
  t.unassigned = 0;
  done = false
}

/* Updates the mirror from the store, or clears it if the controller lost the share. */
inline read_store(c) {
  if
  :: owner[mirrors[c].share] == c && mirrors[c].stamp == share_stamp[mirrors[c].share] ->
     mirrors[c].booked = booked[mirrors[c].share];
     mirrors[c].part = part[mirrors[c].share];
     mirrors[c].unassigned = unassigned;
     mirrors[c].record = record_stamp;
     mirrors[c].owns = true
  :: else -> clear_mirror(c)
  fi
}

/* Executes a transaction if its conditions hold; done tells whether they did. */
inline execute(t, done) {
  done = t.share_stamp == share_stamp[t.share];
  if
  :: t.kind == LOWER || t.kind == RAISE ->
#ifdef NO_SHARE_CONDITION
     done = true;
#endif
#ifndef NO_RECORD_CONDITION
     done = done && t.record_stamp == record_stamp;
#endif
     if
     :: done -> part[t.share] = t.part; unassigned = t.unassigned; record_stamp++
     :: else
     fi
  :: t.kind == BOOK && done -> booked[t.share]++
  :: t.kind == RELEASE && done && booked[t.share] > 0 -> booked[t.share]--
  :: t.kind == BARRIER && done -> share_stamp[t.share]++
  :: else
  fi;
  assert(booked[0] + booked[1] <= LIMIT);
  assert(booked[0] <= part[0] && booked[1] <= part[1])
}

/* Fills in a transaction with the stamps and amounts of the mirror. */
inline prepare(c, t, requested_kind) {
  t.kind = requested_kind;
  t.share = mirrors[c].share;
  t.share_stamp = mirrors[c].stamp;
  t.record_stamp = mirrors[c].record;
  t.part = mirrors[c].part;
  t.unassigned = mirrors[c].unassigned
}

/* Updates the mirror from an answer: by what was written, or after a refusal by reading the store again. */
inline handle_answer(c, t, done) {
  if
  :: done && t.kind == BARRIER -> mirrors[c].stamp++; mirrors[c].in_doubt = false; read_store(c)
  :: done && t.kind == BOOK -> mirrors[c].booked++
  :: done && t.kind == RELEASE -> mirrors[c].booked = (mirrors[c].booked > 0 -> mirrors[c].booked - 1 : 0)
  :: done && (t.kind == LOWER || t.kind == RAISE) ->
     mirrors[c].part = t.part; mirrors[c].unassigned = t.unassigned; mirrors[c].record = record_stamp
  :: !done -> read_store(c)
  fi
}

/* The answer is lost: the transaction is in flight, or was lost itself. */
inline lose_answer(c, t) {
  if
  :: in_flight.kind == NOTHING -> in_flight.kind = t.kind; in_flight.share = t.share;
     in_flight.share_stamp = t.share_stamp; in_flight.record_stamp = t.record_stamp; in_flight.part = t.part;
     in_flight.unassigned = t.unassigned
  :: in_flight.kind != NOTHING /* it is never executed */
  fi;
#ifndef NO_BARRIER
  mirrors[c].in_doubt = true
#endif
}

proctype controller(byte c) {
  transaction t;
  bool done;
  t.kind = NOTHING;
  do
  /* The leader assigns a share to the controller, which increments the share's stamp. The new owner's mirror contains
   * all earlier changes. */
  :: d_step { ownership_changes < OWNERSHIP_CHANGES_MAX && !mirrors[c].owns ->
     ownership_changes++;
     if
     :: mirrors[c].share = 0
     :: mirrors[c].share = 1
     fi;
     owner[mirrors[c].share] = c;
     share_stamp[mirrors[c].share]++;
     mirrors[c].stamp = share_stamp[mirrors[c].share];
     mirrors[c].in_doubt = false;
     read_store(c) }
  /* The watch updates the mirror. */
  :: d_step { mirrors[c].owns -> read_store(c) }
  :: atomic { mirrors[c].owns ->
     t.kind = NOTHING;
     if
     :: mirrors[c].in_doubt && ownership_changes < OWNERSHIP_CHANGES_MAX -> ownership_changes++; prepare(c, t, BARRIER)
     :: !mirrors[c].in_doubt && mirrors[c].booked < mirrors[c].part -> prepare(c, t, BOOK)
     :: !mirrors[c].in_doubt && mirrors[c].booked > 0 -> prepare(c, t, RELEASE)
     :: !mirrors[c].in_doubt && mirrors[c].part > mirrors[c].booked && part_changes < PART_CHANGES_MAX ->
        part_changes++; prepare(c, t, LOWER); t.part--; t.unassigned++
     :: !mirrors[c].in_doubt && mirrors[c].unassigned > 0 && part_changes < PART_CHANGES_MAX ->
        part_changes++; prepare(c, t, RAISE); t.part++; t.unassigned--
     :: else
     fi;
     if
     :: t.kind == NOTHING
     :: t.kind != NOTHING -> execute(t, done); handle_answer(c, t, done)
     :: t.kind != NOTHING && t.kind != BARRIER -> lose_answer(c, t)
     /* The client sent the transaction twice: the first copy is executed, the second one's refusal is the answer. */
     :: t.kind == BOOK -> execute(t, done);
#ifndef NO_CATCH_UP
        read_store(c)
#endif
     fi;
     clear_transaction(t) }
  od
}

/* Executes a transaction whose answer was lost, at any later time. */
active proctype network() {
  bool done;
  do
  :: atomic { in_flight.kind != NOTHING -> execute(in_flight, done); clear_transaction(in_flight) }
  od
}

init {
  byte i;
  d_step {
    part[0] = LIMIT;
    in_flight.kind = NOTHING;
    owner[0] = 0;
    owner[1] = 1;
    for (i : 0 .. 1) {
      mirrors[i].share = i;
      mirrors[i].stamp = 1;
      read_store(i)
    }
  }
  for (i : 0 .. (OWNERS - 1)) { run controller(i) }
}
