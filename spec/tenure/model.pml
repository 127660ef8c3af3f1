/* Tenure: an instance belongs to one pool at any moment, through a move and a change of leader.
 *
 * The log is a sequence of commands, each applied by every daemon in order but at its own pace. A
 * move ends the present tenure; the next begins with a command of its own, which the leader proposes
 * once the instance has drained and every daemon has applied the end, or has no view. A new leader
 * knows only the log, and a proposal may be doubled. A daemon sends work for the pool that it takes
 * the instance to be in. */

#define DAEMONS 2
#define LENGTH 5
#define MOVES 2

/* Commands: the instance ends its tenure, or begins that with the next epoch. */
#define END 1
#define BEGIN 2

byte entry[LENGTH];
byte length;
byte epoch[LENGTH];

/* Of each daemon: entries applied, whether it may act, the epoch it works under and the
 * last that it knows, and its request in flight. */
byte applied[DAEMONS];
bool view[DAEMONS];
byte pool[DAEMONS];
byte last[DAEMONS];
byte flight[DAEMONS];
byte flight_pool[DAEMONS];

/* The state that the whole log determines. */
byte tenure;
byte former;
byte moves;

#define ended (tenure == 0)
#define passed(d) (applied[d] == length || !view[d])
#define idle(d) (flight[d] == 0)

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
       passed(0) && passed(1)
#else
#ifdef BEGINS_BEFORE_APPLIED
       idle(0) && idle(1)
#else
       passed(0) && passed(1) && idle(0) && idle(1)
#endif
#endif
       ->
       tenure = former + 1;
       append(BEGIN, former + 1) }
  /* A proposal of a former leader that comes late: its epoch is over, and it changes nothing. */
  :: atomic { length < LENGTH && moves > 0 -> append(BEGIN, former) }
  od
}

inline take(d) {
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
  :: atomic { applied[me] < length -> take(me) }
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
