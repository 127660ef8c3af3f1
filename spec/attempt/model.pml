/* Attempts: a task never runs twice at a time, and never after its end was committed.
 *
 * One task, two instances, and a sequence of owners. A claim is committed before the order to start
 * is sent. An instance may delay an order that it received and carry it out any time before it
 * restarts. Answers may be lost. An instance that crashes restarts with empty state and the next
 * life number, and the owner may send it an order before it learns of that. Orders sent before the
 * crash are lost, since a call times out sooner than an instance restarts. Leases expire. A new
 * owner knows only what is committed. A renewal is a single step: its answer reports what the
 * instance runs and what ended there. */

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

/* Committed state: whether the task is done, the number of the latest attempt, and the instance
 * with the claim, with the life that the owner knew of it then. */
bool done;
byte number;
byte claimed = NOBODY;
byte claimed_life;

/* State of the present owner, which is lost when another one takes over. The stages of a claimed
 * attempt: the owner waits for the answer to its order to start; it has stopped waiting; it has
 * taken the claim over from a former owner; an instance has confirmed that the attempt runs. */
mtype = { starting, unanswered, recovered, runs };
byte epoch = 1;
mtype stage;
/* Life in which the owner last renewed the lease of each instance; NOBODY if it has not. */
byte renewed[INSTANCES] = NOBODY;
/* Life of the instance with the claim in which the owner expects the attempt. */
byte expected_life;
/* Whether an answer has confirmed a stop of the attempt in that life. */
bool was_stopped;

/* State of the instances: life, highest epoch seen, running attempt, highest attempt that is
 * refused, end that is not acknowledged, and whether every lease that was granted has expired. */
byte life[INSTANCES];
byte seen[INSTANCES];
byte running[INSTANCES];
byte refused[INSTANCES];
byte ended[INSTANCES];
bool expired[INSTANCES];

/* Whether the end of the task was acknowledged to its instance. */
bool acknowledged;

/* Orders to start, by instance and attempt: epoch of an order in transit, and of one that the
 * instance has delayed; 0 for none. */
byte sent[INSTANCES * NUMBERS];
byte delayed[INSTANCES * NUMBERS];

#define at(i, n) ((i) * NUMBERS + (n) - 1)
#define other(i) (1 - (i))
#define is_claimed (claimed != NOBODY)

/* The owner releases the claim, since the attempt does not run and never will. */
inline release() {
  claimed = NOBODY
}

/* Instance `i` carries out an order to start attempt `n`, issued under epoch `e`. */
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
        assert(!done && !acknowledged);
        running[i] = n;
        expired[i] = false;
        accepted = true
     fi
  fi
}

inline forget_orders(i) {
  n = 1;
  do
  :: n <= NUMBERS -> delayed[at(i, n)] = 0; sent[at(i, n)] = 0; n++
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
  expired[i] = false;
  forget_orders(i)
}

/* Every lease of instance `i` expires: it stops its task and drops orders, whose leases are over
 * as well. */
inline lapse(i) {
  running[i] = 0;
  expired[i] = true;
#ifndef STARTS_CARRY_A_LATER_LEASE
  forget_orders(i)
#endif
}

/* The owner renews the lease of instance `i`, and handles the report in the answer. */
inline renew(i) {
  seen[i] = epoch;
  renewed[i] = life[i];
  if
  :: claimed == i && expected_life == life[i] ->
     expired[i] = false;
     if
     :: running[i] == number -> stage = runs
     :: running[i] != number && ended[i] == number ->
        done = true;
        claimed = NOBODY;
        acknowledged = true;
        ended[i] = 0
     :: running[i] != number && ended[i] != number ->
        if
        :: stage == runs || stage == recovered -> release()
#ifdef ABSENT_WITHOUT_A_STOP
        :: stage == unanswered -> release()
#else
        :: stage == unanswered && was_stopped -> release()
#endif
        :: else -> skip
        fi
     fi
  :: else ->
     /* An attempt without a claim is stopped. */
     if
     :: running[i] != 0 && !(claimed == i && running[i] == number) ->
        refused[i] = running[i];
        running[i] = 0
     :: else -> skip
     fi;
     ended[i] = 0
  fi
}

/* The owner learns that the instance with the claim has restarted. */
inline later_life() {
  if
#ifdef STARTS_END_WITH_THE_LIFE
  :: stage == unanswered -> expected_life = life[claimed]; was_stopped = false
  :: else -> release()
#else
#ifdef RECOVERED_ENDS_WITH_THE_LIFE
  :: stage == starting || stage == unanswered ->
#else
  :: stage == starting || stage == unanswered || stage == recovered ->
#endif
     expected_life = life[claimed];
     stage = unanswered;
     was_stopped = false
  :: else -> release()
#endif
  fi
}

active proctype world() {
  byte i = 0;
  byte n = 0;
  bool accepted = false;
  do
  /* The owner commits a claim, and sends the order to start. */
  :: atomic { !done && !is_claimed && number < NUMBERS ->
       if :: i = 0 :: i = 1 fi;
       if
       :: renewed[i] != NOBODY ->
          claimed = i;
          claimed_life = renewed[i];
          number++;
          expired[i] = false;
          stage = starting;
          expected_life = renewed[i];
          was_stopped = false;
          sent[at(i, number)] = epoch
       :: else -> skip
       fi;
       i = 0 }
  /* An order arrives: it is carried out, delayed or lost. */
  :: atomic { (sent[0] || sent[1] || sent[2] || sent[3] || sent[4] || sent[5]) ->
       if :: i = 0 :: i = 1 fi;
       if :: n = 1 :: n = 2 :: n = 3 fi;
       if
       :: sent[at(i, n)] ->
          if
          :: carry_out(i, n, sent[at(i, n)], accepted);
             /* The answer arrives or is lost. */
             if
             :: accepted && claimed == i && number == n && stage == starting &&
                  sent[at(i, n)] == epoch && expected_life == life[i] -> stage = runs
             :: true -> skip
             fi
          :: delayed[at(i, n)] = sent[at(i, n)]
          :: true -> skip
          fi;
          sent[at(i, n)] = 0
       :: else -> skip
       fi;
       i = 0; n = 0; accepted = false }
  :: atomic { (delayed[0] || delayed[1] || delayed[2] || delayed[3] || delayed[4] || delayed[5]) ->
       if :: i = 0 :: i = 1 fi;
       if :: n = 1 :: n = 2 :: n = 3 fi;
       if
       :: delayed[at(i, n)] ->
          carry_out(i, n, delayed[at(i, n)], accepted);
          delayed[at(i, n)] = 0
       :: else -> skip
       fi;
       i = 0; n = 0; accepted = false }
  /* The owner stops waiting for an answer. */
  :: atomic { is_claimed && stage == starting -> stage = unanswered }
  /* The owner stops the attempt; the answer arrives or is lost. */
  :: atomic { is_claimed && stage == unanswered && expected_life == life[claimed] ->
       seen[claimed] = epoch;
       if :: refused[claimed] < number -> refused[claimed] = number :: else -> skip fi;
       if :: running[claimed] == number -> running[claimed] = 0 :: else -> skip fi;
       if :: was_stopped = true :: skip fi }
  /* The owner renews a lease. */
  :: atomic { renew(0) }
  :: atomic { renew(1) }
#ifdef ACKNOWLEDGES_BEFORE_THE_COMMIT
  :: atomic { is_claimed && ended[claimed] == number ->
       ended[claimed] = 0;
       acknowledged = true }
#endif
  :: atomic { is_claimed && expected_life < life[claimed] -> later_life() }
  /* Every lease of the instance with the claim has expired. */
#ifdef LAPSES_TOO_EARLY
  :: atomic { is_claimed && expected_life == life[claimed] -> release() }
#else
  :: atomic { is_claimed && expected_life == life[claimed] && expired[claimed] -> release() }
#endif
  /* The task ends on its instance. */
  :: atomic { running[0] != 0 -> ended[0] = running[0]; refused[0] = running[0]; running[0] = 0 }
  :: atomic { running[1] != 0 -> ended[1] = running[1]; refused[1] = running[1]; running[1] = 0 }
  :: atomic { life[0] < LIVES - 1 -> crash(0) }
  :: atomic { life[1] < LIVES - 1 -> crash(1) }
  :: atomic { !expired[0] -> lapse(0) }
  :: atomic { !expired[1] -> lapse(1) }
  /* Another owner takes over, and must renew a lease before it claims on that instance. */
  :: atomic { epoch < EPOCHS ->
       epoch++;
       stage = recovered;
       expected_life = claimed_life;
       renewed[0] = NOBODY;
       renewed[1] = NOBODY;
       was_stopped = false }
  od
}
