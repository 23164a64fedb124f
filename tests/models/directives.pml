/* Model of the messages between the owner of a shard and one worker about one attempt of a task: when the owner may
 * release the attempt, so that the task starts on another machine, and when it may tell the worker to forget it.
 *
 * Starts and forgets reach the worker in commands and in responses to heartbeats. A command may arrive at any time,
 * also after the owner has given up waiting for the answer, and any number of times, also after it was answered. The
 * worker has one heartbeat in flight; it carries out the response to it or drops it. A copy of a heartbeat may arrive
 * late. The owner may change: the new owner has a higher fencing token, and messages of the previous owner are still on
 * their way, or still being sent. The owner may raise its token. The worker's lease may expire, which ends the attempt
 * and begins another incarnation.
 *
 * Asserted: the attempt does not run on this worker while the task may run on another machine, and does not start again
 * after the worker has forgotten it.
 *
 * Each of these defines removes one condition, so that the assertion must be violated:
 *   NO_RESPONSE_CONDITION  forgets although a start in a response may be on its way
 *   NO_COMMAND_CONDITION   forgets although a start in a command may be on its way
 *   ANSWER_ENDS_WAIT       takes the answer to a command for proof that its start cannot arrive any more
 *   NO_TOKEN_CONDITION     forgets or releases although the worker has not shown the owner's fencing token
 *   NO_ABSENCE_CONDITION   takes the answer to a command for proof of absence while a start in a response may be on its
 *                          way
 *   COPY_ENDS_WAIT         takes any heartbeat, even an earlier one, for proof that the response has been dropped */

/* Bounds of the search. */
#define SEQUENCE_MAX 4
#ifndef TOKEN_MAX
#define TOKEN_MAX 2
#endif
#ifndef INCARNATION_MAX
#define INCARNATION_MAX 1 /* 2: with the expiry of the worker's lease */
#endif
#define COMMANDS 2

mtype = { ABSENT, RUNNING, ENDED };

/* A heartbeat, or an answer to a command. */
typedef message {
  bool valid;
  byte incarnation, sequence, token;
  mtype state
};
typedef command {
  bool valid, awaited; /* awaited: the owner waits for the answer */
  byte token, incarnation;
  bool starts, forgets
};

/* The worker. */
mtype state = ABSENT;
byte token = 1, incarnation = 1, sequence;
bool waiting; /* for the response to a heartbeat */
byte waiting_incarnation;

/* Messages in flight. */
message heartbeat, copy, answer;
bool response, response_run, response_forget;
byte response_token;
command commands[COMMANDS];
bool answer_to_start;
bool forgotten; /* the worker has carried out a forget in this incarnation */

/* The owner. Its tokens are those from first_token on; it has raised them to owner_token. */
byte first_token = 1, owner_token = 1, known_incarnation, known_sequence, shown_token;
bool was_listed, inherited, released, stop_requested, listed_as_ended;
bool in_flight, start_in_flight, outcome_unknown;
byte unknown_token, unknown_incarnation;
bool start_pending; /* the worker may carry out a start that a command under this token and incarnation carried */
byte start_token, start_incarnation;
byte response_incarnation, response_sequence; /* of the heartbeat whose response carried a start */
bool previous_may_start;                      /* the previous owner may still send the start */
byte previous_token;

/* The store, and the other machine. */
bool recorded = true; /* the attempt is allocated to this worker */
bool elsewhere;       /* the task may starts on another machine */

inline carry_out_start() {
  if
  :: state == ABSENT -> state = RUNNING; assert(!elsewhere && !forgotten)
  :: else
  fi
}

inline carry_out_forget() {
  if
  :: state == ENDED -> state = ABSENT; forgotten = true
  :: else
  fi
}

inline write_message(m) {
  sequence++;
  m.valid = true;
  m.incarnation = incarnation;
  m.sequence = sequence;
  m.token = token;
  m.state = state
}

inline clear_message(m) {
  m.valid = false;
  m.incarnation = 0;
  m.sequence = 0;
  m.token = 0;
  m.state = ABSENT
}

inline clear_command(c) {
  c.valid = false;
  c.awaited = false;
  c.token = 0;
  c.incarnation = 0;
  c.starts = false;
  c.forgets = false
}

#define AWAITS_START (recorded && !released && !stop_requested && !was_listed && !inherited)
#ifdef NO_TOKEN_CONDITION
#define SHOWS_TOKEN true
#else
#define SHOWS_TOKEN (shown_token >= first_token)
#endif
#ifdef NO_RESPONSE_CONDITION
#define FORGET_DESPITE_RESPONSE true
#else
#define FORGET_DESPITE_RESPONSE (response_incarnation == 0)
#endif
#ifdef NO_COMMAND_CONDITION
#define FORGET_DESPITE_COMMAND true
#else
#ifdef ANSWER_ENDS_WAIT
#define FORGET_DESPITE_COMMAND (!outcome_unknown && !start_in_flight)
#else
#define FORGET_DESPITE_COMMAND (!start_pending)
#endif
#endif
#define MAY_FORGET (!recorded && listed_as_ended && SHOWS_TOKEN && FORGET_DESPITE_RESPONSE && FORGET_DESPITE_COMMAND)
#ifdef NO_ABSENCE_CONDITION
#define ANSWER_PROVES_ABSENCE true
#else
#define ANSWER_PROVES_ABSENCE (response_incarnation == 0)
#endif

/* directives_note_message */
inline note_message(m, is_heartbeat) {
  if
#ifdef COPY_ENDS_WAIT
  :: is_heartbeat -> response_incarnation = 0; response_sequence = 0
#else
  :: is_heartbeat && m.incarnation == response_incarnation && m.sequence > response_sequence ->
     response_incarnation = 0; response_sequence = 0
#endif
  :: m.incarnation > response_incarnation -> response_incarnation = 0; response_sequence = 0
  :: else
  fi
}

inline reconcile(m, is_heartbeat) {
  if
  :: !recorded -> listed_as_ended = (m.state == ENDED)
  :: recorded && m.state != ABSENT ->
     was_listed = true;
     released = (released || m.state == ENDED)
  :: recorded && m.state == ABSENT && (was_listed || inherited || stop_requested) && !outcome_unknown &&
     !start_in_flight && !start_pending && (is_heartbeat || ANSWER_PROVES_ABSENCE) -> released = true
  :: else
  fi
}

/* reconciliation_apply; sets `applied` */
inline apply_message(m, is_heartbeat) {
  note_message(m, is_heartbeat);
  applied = m.incarnation > known_incarnation ||
            (m.incarnation == known_incarnation && m.sequence > known_sequence);
  if
  :: applied ->
     known_incarnation = m.incarnation;
     known_sequence = m.sequence;
     if
#ifdef NO_TOKEN_CONDITION
     :: true ->
#else
     :: m.token >= first_token ->
#endif
        shown_token = m.token;
        if
        :: m.token > start_token || m.incarnation > start_incarnation ->
           start_pending = false; start_token = 0; start_incarnation = 0
        :: else
        fi;
        if
        :: outcome_unknown && !start_in_flight &&
           (m.token > unknown_token || m.incarnation > unknown_incarnation) -> outcome_unknown = false
        :: else
        fi;
        reconcile(m, is_heartbeat)
     :: else
     fi
  :: else
  fi
}

/* heartbeat.c, apply_and_respond. A response to a copy reaches nobody. */
inline respond(m, reaches_worker) {
  apply_message(m, true);
  if
  :: outcome_unknown && !start_in_flight && owner_token <= unknown_token && owner_token == TOKEN_MAX ->
     if
     :: reaches_worker -> waiting = false
     :: else
     fi
  :: else ->
     if
     :: outcome_unknown && !start_in_flight && owner_token <= unknown_token -> owner_token++
     :: else
     fi;
     starts = applied && SHOWS_TOKEN && AWAITS_START;
     forgets = applied && MAY_FORGET;
     if
     :: starts -> response_incarnation = m.incarnation; response_sequence = m.sequence
     :: else
     fi;
     if
     :: reaches_worker ->
        response = true;
        response_token = owner_token;
        response_run = starts;
        response_forget = forgets
     :: else
     fi
  fi;
  starts = false;
  forgets = false;
  applied = false;
  clear_message(m)
}

inline drop_response() {
  response = false;
  response_run = false;
  response_forget = false;
  response_token = 0
}

active proctype network() {
  bool applied, starts, forgets;
  byte i;
  end:
  do
  /* The worker sends a heartbeat, which may be copied. */
  :: atomic { !waiting && sequence < SEQUENCE_MAX ->
     write_message(heartbeat);
     waiting = true;
     waiting_incarnation = incarnation }
  :: atomic { heartbeat.valid && !copy.valid ->
     copy.valid = true;
     copy.incarnation = heartbeat.incarnation;
     copy.sequence = heartbeat.sequence;
     copy.token = heartbeat.token;
     copy.state = heartbeat.state }
  /* A heartbeat arrives at the owner, or at the previous owner, or a copy at the owner. */
  :: atomic { heartbeat.valid -> respond(heartbeat, true) }
  :: atomic { heartbeat.valid && previous_token > 0 ->
     response = true;
     response_token = previous_token;
     response_run = previous_may_start;
     response_forget = false;
     clear_message(heartbeat) }
  :: atomic { copy.valid -> respond(copy, false) }
  /* The response arrives; or the worker stops waiting and drops it. */
  :: atomic { response && waiting ->
     waiting = false;
     if
     :: response_token >= token && waiting_incarnation == incarnation ->
        token = response_token;
        if
        :: response_run -> carry_out_start()
        :: else
        fi;
        if
        :: response_forget -> carry_out_forget()
        :: else
        fi
     :: else
     fi;
     drop_response() }
  :: atomic { waiting -> waiting = false; drop_response(); clear_message(heartbeat) }
  /* The owner sends a command: directives, also about other tasks, or a probe, also while an outcome is unknown. */
  :: atomic { !in_flight ->
     starts = SHOWS_TOKEN && AWAITS_START && !outcome_unknown;
     forgets = MAY_FORGET && !outcome_unknown;
     i = 0;
     do
     :: i < COMMANDS && commands[i].valid -> i++
     :: else -> break
     od;
     if
     :: i < COMMANDS ->
        commands[i].valid = true;
        commands[i].awaited = true;
        commands[i].token = owner_token;
        commands[i].incarnation = (known_incarnation > 0 -> known_incarnation : 1);
        commands[i].starts = starts;
        commands[i].forgets = forgets;
        in_flight = true;
        start_in_flight = starts;
        if
        :: starts ->
           outcome_unknown = true;
           unknown_token = owner_token;
           unknown_incarnation = commands[i].incarnation;
           start_pending = true;
           start_token = owner_token;
           start_incarnation = unknown_incarnation
        :: else
        fi
     :: else
     fi;
     i = 0;
     starts = false;
     forgets = false }
  /* A command arrives, and is answered if the owner waits for the answer. A copy may be left. */
  :: atomic { (commands[0].valid || commands[1].valid) ->
     if
     :: commands[0].valid -> i = 0
     :: commands[1].valid -> i = 1
     fi;
     if
     :: commands[i].token >= token && commands[i].incarnation == incarnation ->
        token = commands[i].token;
        if
        :: commands[i].starts -> carry_out_start()
        :: else
        fi;
        if
        :: commands[i].forgets -> carry_out_forget()
        :: else
        fi
     :: else
     fi;
     if
     :: commands[i].awaited && sequence < SEQUENCE_MAX -> write_message(answer); answer_to_start = commands[i].starts
     :: else
     fi;
     if
     :: clear_command(commands[i])
     :: commands[i].awaited = false
     fi;
     i = 0 }
  :: atomic { answer.valid && in_flight ->
     in_flight = false;
     start_in_flight = false;
     if
     :: answer_to_start -> outcome_unknown = false
     :: else
     fi;
     apply_message(answer, false);
     applied = false;
     answer_to_start = false;
     clear_message(answer) }
  /* The owner stops waiting for an answer. The command may still arrive. */
  :: atomic { in_flight ->
     in_flight = false;
     start_in_flight = false;
     commands[0].awaited = false;
     commands[1].awaited = false;
     answer_to_start = false;
     clear_message(answer) }
  /* The attempt ends; the lease expires. */
  :: state == RUNNING -> state = ENDED
  :: atomic { incarnation < INCARNATION_MAX -> incarnation++; sequence = 0; state = ABSENT; forgotten = false }
  /* A copy that was left gets lost. */
  :: atomic { commands[0].valid && !commands[0].awaited -> clear_command(commands[0]) }
  :: atomic { commands[1].valid && !commands[1].awaited -> clear_command(commands[1]) }
  /* The owner wants the task stopped before its start was seen; raises its token; is replaced. */
  :: atomic { recorded && !was_listed && !stop_requested -> stop_requested = true }
  :: atomic { !in_flight && owner_token < TOKEN_MAX -> owner_token++ }
  :: atomic { owner_token < TOKEN_MAX && previous_token == 0 ->
     previous_token = owner_token;
     previous_may_start = AWAITS_START;
     owner_token++;
     first_token = owner_token;
     start_pending = false;
     start_token = 0;
     start_incarnation = 0;
     known_incarnation = 0;
     known_sequence = 0;
     shown_token = 0;
     was_listed = false;
     released = false;
     listed_as_ended = false;
     stop_requested = false;
     inherited = true;
     in_flight = false;
     start_in_flight = false;
     outcome_unknown = false;
     response_incarnation = 0;
     response_sequence = 0;
     commands[0].awaited = false;
     commands[1].awaited = false;
     answer_to_start = false;
     clear_message(answer) }
  /* The released attempt's record is removed, and the task starts elsewhere. */
  :: atomic { recorded && released ->
     recorded = false;
     elsewhere = true;
     assert(state != RUNNING) }
  od
}
