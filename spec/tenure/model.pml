/* Tenure: an instance belongs to one pool at a time, across moves and changes of leader.
 *
 * The log is a sequence of commands that every daemon applies in order, each at its own pace. A
 * tenure is the time that the instance spends in one pool. A move ends the present tenure. The next
 * one begins with a command that the leader proposes once the instance has drained and every daemon
 * has applied the end or has no valid view lease. A new leader knows only the log, and proposals
 * may be duplicated. Each daemon sends requests to the instance for the pool in which it believes
 * the instance to be. */

#define DAEMONS 2
#define LENGTH 5
#define MOVES 2

/* Commands: the present tenure ends, and one with the given epoch begins. */
#define END 1
#define BEGIN 2

byte entry[LENGTH];
byte length;
byte epoch[LENGTH];

/* Per daemon: entries applied, whether its view lease is valid, the epoch of the tenure that it
 * considers present (0 for none) and the latest it has seen, and whether it has a request in
 * flight, with the epoch under which that was sent. */
byte applied[DAEMONS];
bool view[DAEMONS];
byte pool[DAEMONS];
byte last[DAEMONS];
byte flight[DAEMONS];
byte flight_pool[DAEMONS];

/* State after all entries of the log: epoch of the present tenure (0 for none) and of the former
 * one, and the number of moves. */
byte tenure;
byte former;
byte moves;

#define ended (tenure == 0)
#define has_applied_all(d) (applied[d] == length || !view[d])
#define idle(d) (flight[d] == 0)

/* No two requests in flight are for different pools. */
inline one_pool() {
  assert(flight[0] == 0 || flight[1] == 0 || flight_pool[0] == flight_pool[1])
}

inline append(command, number) {
  entry[length] = command;
  epoch[length] = number;
  length++
}

proctype Leader() {
  do
  :: atomic { !ended && moves < MOVES && length < LENGTH ->
       former = tenure;
       tenure = 0;
       moves++;
       append(END, former) }
  :: atomic { ended && length < LENGTH &&
#ifdef BEGINS_BEFORE_DRAINED
       has_applied_all(0) && has_applied_all(1)
#else
#ifdef BEGINS_BEFORE_APPLIED
       idle(0) && idle(1)
#else
       has_applied_all(0) && has_applied_all(1) && idle(0) && idle(1)
#endif
#endif
       ->
       tenure = former + 1;
       append(BEGIN, former + 1) }
  /* A late proposal of a former leader: its epoch is outdated, so that it must have no effect. */
  :: atomic { length < LENGTH && moves > 0 -> append(BEGIN, former) }
  od
}

/* Daemon `d` applies its next entry. */
inline apply(d) {
  if
#ifdef IGNORES_EPOCH
  :: entry[applied[d]] == BEGIN -> pool[d] = epoch[applied[d]]
#else
  :: entry[applied[d]] == BEGIN && epoch[applied[d]] > last[d] ->
     pool[d] = epoch[applied[d]];
     last[d] = pool[d]
#endif
  :: entry[applied[d]] == END -> pool[d] = 0
  :: else
  fi;
  applied[d]++
}

proctype Daemon(byte me) {
  do
  :: atomic { applied[me] < length -> apply(me) }
  :: atomic { view[me] && pool[me] != 0 && flight[me] == 0 ->
       flight[me] = 1;
       flight_pool[me] = pool[me];
       one_pool() }
  :: atomic { flight[me] == 1 -> flight[me] = 0 }
  :: atomic { view[me] -> view[me] = false }
  :: atomic { !view[me] && applied[me] == length -> view[me] = true }
  od
}

init {
  atomic {
    tenure = 1;
    pool[0] = 1;
    pool[1] = 1;
    last[0] = 1;
    last[1] = 1;
    view[0] = true;
    view[1] = true;
    run Leader();
    run Daemon(0);
    run Daemon(1)
  }
}
