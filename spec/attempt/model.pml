/* Attempts: a task runs at most once at a time, and never after its end was committed.
 *
 * One task, two instances, and owners that follow each other. A claim is committed before its order to
 * start is sent; the order may be held by the instance that took it and be carried out late, as long as
 * that life lasts. Answers may be lost. An instance crashes and starts again, forgetting all, and the
 * owner may send it an order before it knows of the new life; what was sent before the crash is gone,
 * since a call ends sooner than an instance starts again. Leases run out. A new owner knows only what is
 * committed. A renewal is one step: its answer tells what the instance runs and what ended. */

#define INSTANCES 2
#ifndef NUMBERS
#define NUMBERS 3
#endif
#ifndef EPOCHS
#define EPOCHS 2
#endif
#ifndef LIVES
#define LIVES 2
#endif

#define NOBODY 255

/* Committed. */
bool done;
byte number;
byte claimed = NOBODY;
byte claimed_life;

/* The present owner, which forgets all of this when another follows. */
mtype = { starting, unanswered, recovered, runs };
byte epoch = 1;
mtype stage;
/* Life of each instance that it has renewed; NOBODY if none. */
byte renewed[INSTANCES] = NOBODY;
/* Life of the instance on which it looks for the attempt. */
byte looks_at;
bool was_stopped;

/* Instances: life, highest epoch seen, attempt that runs, highest attempt refused, end not yet
 * acknowledged, and whether every lease granted has run out. */
byte life[INSTANCES];
byte seen[INSTANCES];
byte running[INSTANCES];
byte refused[INSTANCES];
byte ended[INSTANCES];
bool over[INSTANCES];

/* Whether an end was acknowledged to its instance. */
bool noted;

/* Orders to start, by instance and number: epoch of one on its way, and of one that is held. */
byte sent[INSTANCES * NUMBERS];
byte held[INSTANCES * NUMBERS];

#define at(i, n) ((i) * NUMBERS + (n) - 1)
#define other(i) (1 - (i))
#define is_claimed (claimed != NOBODY)

inline lost() {
  claimed = NOBODY
}

/* Instance `i` carries out an order to start attempt `n`, given under `e`. */
inline carry_out(i, n, e, accepted) {
  accepted = false;
  if
  :: e < seen[i] -> skip
  :: else ->
     seen[i] = e;
     if
     :: refused[i] >= n || running[i] == n -> skip
     :: else ->
        assert(running[other(i)] == 0);
        assert(!done && !noted);
        running[i] = n;
        over[i] = false;
        accepted = true
     fi
  fi
}

inline forget_orders(i) {
  n = 1;
  do
  :: n <= NUMBERS -> held[at(i, n)] = 0; sent[at(i, n)] = 0; n++
  :: else -> break
  od;
  n = 0
}

inline crash(i) {
  life[i]++;
  seen[i] = 0;
  running[i] = 0;
  refused[i] = 0;
  ended[i] = 0;
  over[i] = false;
  forget_orders(i)
}

inline lapse(i) {
  running[i] = 0;
  over[i] = true;
#ifndef STARTS_CARRY_A_LATER_LEASE
  forget_orders(i)
#endif
}

/* The owner renews the lease of instance `i`, and takes its report. */
inline renew(i) {
  seen[i] = epoch;
  renewed[i] = life[i];
  if
  :: claimed == i && looks_at == life[i] ->
     over[i] = false;
     if
     :: running[i] == number -> stage = runs
     :: running[i] != number && ended[i] == number ->
        done = true;
        claimed = NOBODY;
        noted = true;
        ended[i] = 0
     :: running[i] != number && ended[i] != number ->
        if
        :: stage == runs || stage == recovered -> lost()
#ifdef ABSENT_WITHOUT_A_STOP
        :: stage == unanswered -> lost()
#else
        :: stage == unanswered && was_stopped -> lost()
#endif
        :: else -> skip
        fi
     fi
  :: else ->
     /* What nobody claims is was_stopped. */
     if
     :: running[i] != 0 && !(claimed == i && running[i] == number) ->
        refused[i] = running[i];
        running[i] = 0
     :: else -> skip
     fi;
     ended[i] = 0
  fi
}

/* The owner learns that the instance with the claim has begun a later life. */
inline later_life() {
  if
#ifdef STARTS_END_WITH_THE_LIFE
  :: stage == unanswered -> looks_at = life[claimed]; was_stopped = false
  :: else -> lost()
#else
#ifdef RECOVERED_ENDS_WITH_THE_LIFE
  :: stage == starting || stage == unanswered ->
#else
  :: stage == starting || stage == unanswered || stage == recovered ->
#endif
     looks_at = life[claimed];
     stage = unanswered;
     was_stopped = false
  :: else -> lost()
#endif
  fi
}

active proctype world() {
  byte i = 0;
  byte n = 0;
  bool accepted = false;
  do
  /* The owner claims, and sends the order. */
  :: atomic { !done && !is_claimed && number < NUMBERS ->
       if :: i = 0 :: i = 1 fi;
       if
       :: renewed[i] != NOBODY ->
          claimed = i;
          claimed_life = renewed[i];
          number++;
          over[i] = false;
          stage = starting;
          looks_at = renewed[i];
          was_stopped = false;
          sent[at(i, number)] = epoch
       :: else -> skip
       fi;
       i = 0 }
  /* An order arrives: it is carried out, held, or lost. */
  :: atomic { (sent[0] || sent[1] || sent[2] || sent[3] || sent[4] || sent[5]) ->
       if :: i = 0 :: i = 1 fi;
       if :: n = 1 :: n = 2 :: n = 3 fi;
       if
       :: sent[at(i, n)] ->
          if
          :: carry_out(i, n, sent[at(i, n)], accepted);
             /* The answer comes, or is lost. */
             if
             :: accepted && claimed == i && number == n && stage == starting &&
                  sent[at(i, n)] == epoch && looks_at == life[i] -> stage = runs
             :: true -> skip
             fi
          :: held[at(i, n)] = sent[at(i, n)]
          :: true -> skip
          fi;
          sent[at(i, n)] = 0
       :: else -> skip
       fi;
       i = 0; n = 0; accepted = false }
  :: atomic { (held[0] || held[1] || held[2] || held[3] || held[4] || held[5]) ->
       if :: i = 0 :: i = 1 fi;
       if :: n = 1 :: n = 2 :: n = 3 fi;
       if
       :: held[at(i, n)] ->
          carry_out(i, n, held[at(i, n)], accepted);
          held[at(i, n)] = 0
       :: else -> skip
       fi;
       i = 0; n = 0; accepted = false }
  /* The owner waits no longer for an answer. */
  :: atomic { is_claimed && stage == starting -> stage = unanswered }
  /* It stops the attempt; the answer comes, or is lost. */
  :: atomic { is_claimed && stage == unanswered && looks_at == life[claimed] ->
       seen[claimed] = epoch;
       if :: refused[claimed] < number -> refused[claimed] = number :: else -> skip fi;
       if :: running[claimed] == number -> running[claimed] = 0 :: else -> skip fi;
       if :: was_stopped = true :: skip fi }
  /* It renews. */
  :: atomic { renew(0) }
  :: atomic { renew(1) }
#ifdef ACKNOWLEDGES_BEFORE_THE_COMMIT
  :: atomic { is_claimed && ended[claimed] == number ->
       ended[claimed] = 0;
       noted = true }
#endif
  :: atomic { is_claimed && looks_at < life[claimed] -> later_life() }
  /* Every lease of the instance has run out. */
#ifdef LAPSES_TOO_EARLY
  :: atomic { is_claimed && looks_at == life[claimed] -> lost() }
#else
  :: atomic { is_claimed && looks_at == life[claimed] && over[claimed] -> lost() }
#endif
  /* The task ends on its instance. */
  :: atomic { running[0] != 0 -> ended[0] = running[0]; refused[0] = running[0]; running[0] = 0 }
  :: atomic { running[1] != 0 -> ended[1] = running[1]; refused[1] = running[1]; running[1] = 0 }
  :: atomic { life[0] < LIVES - 1 -> crash(0) }
  :: atomic { life[1] < LIVES - 1 -> crash(1) }
  :: atomic { !over[0] -> lapse(0) }
  :: atomic { !over[1] -> lapse(1) }
  /* Another owner follows, and renews before it trusts in anything. */
  :: atomic { epoch < EPOCHS ->
       epoch++;
       stage = recovered;
       looks_at = claimed_life;
       renewed[0] = NOBODY;
       renewed[1] = NOBODY;
       was_stopped = false }
  od
}
