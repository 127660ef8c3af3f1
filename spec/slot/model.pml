/* Slots and claims: no slot is granted twice when a broker is replaced, and no request runs twice.
 *
 * A broker grants the slots of a service to daemons. When it fails, another one rebuilds its
 * state under the next epoch from the slots that the daemons report. A daemon that does not report
 * may hold a slot until its view lease expires. A grant carries its epoch and is in transit until
 * the daemon handles it. A claim is an entry of the log: the first one wins, and a resend of the
 * request finds it. */

#define SLOTS 2
#define DAEMONS 2
#define EPOCHS 3
#define NOBODY 255

byte epoch = 1;
/* Whether the broker still waits for reports. */
bool building;

/* Holder of each slot as known to the broker; NOBODY if it is free. */
byte holder[SLOTS];

/* Epoch of the grant in transit, by daemon and slot; 0 for none. */
byte offer[4];

/* Slots that each daemon holds, the highest epoch that it has seen, whether its view lease is
 * valid, and whether it has reported to the present broker. */
bool holds[4];
byte seen[DAEMONS];
bool view[DAEMONS];
bool reported[DAEMONS];

/* The claim of a single request: the daemon that may run it, how often it ran, and on which
 * daemons. */
byte claimant = NOBODY;
byte runs;
bool ran[DAEMONS];

#define at(d, s) (d * SLOTS + s)

/* No slot is held by both daemons. */
inline one_holder() {
  assert(!(holds[at(0, 0)] && holds[at(1, 0)]));
  assert(!(holds[at(0, 1)] && holds[at(1, 1)]))
}

proctype Broker() {
  byte s, d;
  do
  :: atomic { !building ->
       if
       :: s = 0
       :: s = 1
       fi;
       if
       :: d = 0
       :: d = 1
       fi;
       if
       :: holder[s] == NOBODY -> holder[s] = d; offer[at(d, s)] = epoch
       :: else
       fi;
       s = 0;
       d = 0 }
  /* The broker fails, and another one starts under the next epoch. */
  :: atomic { epoch < EPOCHS ->
       epoch++;
       building = true;
       holder[0] = NOBODY;
       holder[1] = NOBODY;
       reported[0] = false;
       reported[1] = false }
  /* A daemon reports the slots that it holds, and from then on refuses grants of former epochs. */
  :: atomic { building ->
       if
       :: d = 0
       :: d = 1
       fi;
       if
       :: view[d] && !reported[d] ->
#ifndef TAKES_FORMER_GRANTS
          seen[d] = epoch;
#endif
          reported[d] = true;
          if
          :: holds[at(d, 0)] -> holder[0] = d
          :: else
          fi;
          if
          :: holds[at(d, 1)] -> holder[1] = d
          :: else
          fi
       :: else
       fi;
       d = 0 }
  :: atomic { building &&
#ifdef FREES_UNREPORTED
       true
#else
       (reported[0] || !view[0]) && (reported[1] || !view[1])
#endif
       -> building = false }
  /* The broker learns that a daemon has released a slot. */
  :: atomic { !building ->
       if
       :: s = 0
       :: s = 1
       fi;
       if
       :: d = 0
       :: d = 1
       fi;
       if
       :: holder[s] == d && !holds[at(d, s)] && offer[at(d, s)] == 0 -> holder[s] = NOBODY
       :: else
       fi;
       s = 0;
       d = 0 }
  od
}

proctype Daemon(byte me) {
  byte s;
  do
  :: atomic {
       if
       :: s = 0
       :: s = 1
       fi;
       if
       :: view[me] && offer[at(me, s)] != 0 ->
          if
          :: offer[at(me, s)] >= seen[me] -> holds[at(me, s)] = true; one_holder()
          :: else
          fi;
          offer[at(me, s)] = 0
       :: holds[at(me, s)] -> holds[at(me, s)] = false
       :: else
       fi;
       s = 0 }
  /* The view lease expires only once the daemon holds no slot; a new one has the present epoch. */
  :: atomic { view[me] && !holds[at(me, 0)] && !holds[at(me, 1)] -> view[me] = false }
  :: atomic { !view[me] && !building -> view[me] = true; seen[me] = epoch }
  /* The daemon runs the request, which must not run twice. */
  :: atomic {
#ifdef CLAIMS_LOCALLY
       !ran[me] ->
#else
       !ran[me] && (claimant == NOBODY || claimant == me) ->
#endif
       claimant = me;
       ran[me] = true;
       runs++;
       assert(runs <= 1) }
  od
}

init {
  atomic {
    holder[0] = NOBODY;
    holder[1] = NOBODY;
    view[0] = true;
    view[1] = true;
    run Broker();
    run Daemon(0);
    run Daemon(1)
  }
}
