/* Parts of a divided team's limit: two shares, three controllers that may own either, one record of the parts.
 *
 * A controller decides on its mirror, which may be old, and sends one transaction at a time. A transaction is answered,
 * or its answer is lost and it is carried out at any later time, or never; one of these is on its way at a time. A controller takes a share at any time, from
 * one that knows nothing of it. Bounded: so many changes of owner or barriers, so many changes of parts.
 *
 * Asserted at every step: what is booked in both shares is within the limit, and no share books beyond its part.
 *
 * Built without one of the conditions it must be refuted:
 *   NO_SHARE_CONDITION  a part is lowered without naming the stamp of its share
 *   NO_RECORD_CONDITION a part is changed without naming the stamp of the record
 *   NO_BARRIER          after a lost answer the owner goes on as if the transaction had failed
 *   NO_CATCH_UP         after a refusal that may be a second copy's the owner goes on with what it knew */

#define SHARES 2
#define OWNERS 3
#define LIMIT 2
#define TAKEN_MOST 3
#define CHANGES_MOST 3

mtype = { NOTHING, BOOK, RELEASE, LOWER, RAISE, BARRIER };

typedef transaction {
  mtype kind;
  byte share, share_stamp, record_stamp, part, unassigned
};

/* The store. */
byte owner[SHARES], share_stamp[SHARES] = 1, booked[SHARES], part[SHARES];
byte unassigned, record_stamp = 1;
byte taken, changes;
transaction late; /* one on its way whose answer was lost */

/* What each controller knows of the share that it owns. */
typedef mirror {
  byte share, stamp, booked, part, unassigned, record;
  bool owns, in_doubt
};
mirror known[OWNERS];

/* What is of no more use is cleared, so that states don't differ by it. */
inline forget(c) {
  known[c].share = 0;
  known[c].stamp = 0;
  known[c].booked = 0;
  known[c].part = 0;
  known[c].unassigned = 0;
  known[c].record = 0;
  known[c].owns = false;
  known[c].in_doubt = false
}

inline clear(t) {
  t.kind = NOTHING;
  t.share = 0;
  t.share_stamp = 0;
  t.record_stamp = 0;
  t.part = 0;
  t.unassigned = 0;
  done = false
}

inline look(c) {
  if
  :: owner[known[c].share] == c && known[c].stamp == share_stamp[known[c].share] ->
     known[c].booked = booked[known[c].share];
     known[c].part = part[known[c].share];
     known[c].unassigned = unassigned;
     known[c].record = record_stamp;
     known[c].owns = true
  :: else -> forget(c)
  fi
}

/* Carries a transaction out if its conditions hold. */
inline carry_out(t, done) {
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

inline ask_for(c, t, what) {
  t.kind = what;
  t.share = known[c].share;
  t.share_stamp = known[c].stamp;
  t.record_stamp = known[c].record;
  t.part = known[c].part;
  t.unassigned = known[c].unassigned
}

/* The answer is known: so is what was written. */
inline answered(c, t, done) {
  if
  :: done && t.kind == BARRIER -> known[c].stamp++; known[c].in_doubt = false; look(c)
  :: done && t.kind == BOOK -> known[c].booked++
  :: done && t.kind == RELEASE -> known[c].booked = (known[c].booked > 0 -> known[c].booked - 1 : 0)
  :: done && (t.kind == LOWER || t.kind == RAISE) ->
     known[c].part = t.part; known[c].unassigned = t.unassigned; known[c].record = record_stamp
  :: !done -> look(c)
  fi
}

inline lose(c, t) {
  if
  :: late.kind == NOTHING -> late.kind = t.kind; late.share = t.share; late.share_stamp = t.share_stamp;
     late.record_stamp = t.record_stamp; late.part = t.part; late.unassigned = t.unassigned
  :: late.kind != NOTHING /* it never arrives */
  fi;
#ifndef NO_BARRIER
  known[c].in_doubt = true
#endif
}

proctype controller(byte c) {
  transaction t;
  bool done;
  t.kind = NOTHING;
  do
  /* The leader gives it a share, which moves the share's stamp; all before that is in its mirror. */
  :: d_step { taken < TAKEN_MOST && !known[c].owns ->
     taken++;
     if
     :: known[c].share = 0
     :: known[c].share = 1
     fi;
     owner[known[c].share] = c;
     share_stamp[known[c].share]++;
     known[c].stamp = share_stamp[known[c].share];
     known[c].in_doubt = false;
     look(c) }
  /* The watch tells what is new. */
  :: d_step { known[c].owns -> look(c) }
  :: atomic { known[c].owns ->
     t.kind = NOTHING;
     if
     :: known[c].in_doubt && taken < TAKEN_MOST -> taken++; ask_for(c, t, BARRIER)
     :: !known[c].in_doubt && known[c].booked < known[c].part -> ask_for(c, t, BOOK)
     :: !known[c].in_doubt && known[c].booked > 0 -> ask_for(c, t, RELEASE)
     :: !known[c].in_doubt && known[c].part > known[c].booked && changes < CHANGES_MOST ->
        changes++; ask_for(c, t, LOWER); t.part--; t.unassigned++
     :: !known[c].in_doubt && known[c].unassigned > 0 && changes < CHANGES_MOST ->
        changes++; ask_for(c, t, RAISE); t.part++; t.unassigned--
     :: else
     fi;
     if
     :: t.kind == NOTHING
     :: t.kind != NOTHING -> carry_out(t, done); answered(c, t, done)
     :: t.kind != NOTHING && t.kind != BARRIER -> lose(c, t)
     /* The client sent it twice, and the second copy is what was answered. */
     :: t.kind == BOOK -> carry_out(t, done);
#ifndef NO_CATCH_UP
        look(c)
#endif
     fi;
     clear(t) }
  od
}

active proctype network() {
  bool done;
  do
  :: atomic { late.kind != NOTHING -> carry_out(late, done); clear(late) }
  od
}

init {
  byte i;
  d_step {
    part[0] = LIMIT;
    late.kind = NOTHING;
    owner[0] = 0;
    owner[1] = 1;
    for (i : 0 .. 1) {
      known[i].share = i;
      known[i].stamp = 1;
      look(i)
    }
  }
  for (i : 0 .. (OWNERS - 1)) { run controller(i) }
}
