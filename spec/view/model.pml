/* View leases: no daemon acts on an older configuration once a change is in force.
 *
 * Two leaders, one after the other, and a daemon. Time is a global count of ticks. Clock drift
 * is covered by the leader, which takes a lease to last DRIFT longer than its holder does. A
 * message is modelled as a read of what was last sent, so that it may be late or lost: a stamp is
 * the clock of the daemon when it answered, and a grant echoes that stamp. A daemon may pause at
 * any point, since every step is optional. */

#define LEASE 2
#define DRIFT 1
#define END 7
#define NEVER 255

byte now;

/* Latest revision that a leader has accepted, and latest revision in force. */
byte accepted;
byte forced;

/* The leader: 0 for none, 1 for the first, 2 for the second; and until when leases granted by a
 * former leader may last. */
byte leader;
byte floor;

/* The daemon: its revision, the end of its view lease on its clock, the number of its restarts,
 * and the time of the last one. */
byte revision;
byte until;
byte boot;
byte started;

/* What the leader knows of the daemon: its last stamp with the restart count at that time, its
 * revision, and until when it may hold a lease. */
byte stamp;
byte stamp_boot;
byte reported;
byte granted;

/* The grant in transit to the daemon. */
byte grant_stamp;
byte grant_boot;
byte grant_revision;

/* The clock of the daemon, which begins at 0 when it starts. */
#define clock (now - started)

#define has_view (until > clock)

#define may_hold (granted > now || floor > now)

/* A daemon with a valid view lease has at least the revision in force. */
inline safe() {
  assert(!has_view || revision >= forced)
}

proctype Daemon() {
  do
  :: atomic { leader != 0 ->
       stamp = clock;
       stamp_boot = boot;
       reported = revision;
       granted = now + LEASE + DRIFT }
  :: atomic { grant_stamp != NEVER && revision <= grant_revision ->
       revision = grant_revision;
       if
#ifdef FORMER_START
       :: until < grant_stamp + LEASE ->
#else
       :: grant_boot == boot && until < grant_stamp + LEASE ->
#endif
          until = grant_stamp + LEASE
       :: else
       fi;
       safe() }
  :: atomic { boot == 0 ->
       boot = 1;
       started = now;
       revision = 0;
       until = 0 }
  od
}

proctype Leader() {
  do
  :: atomic { leader != 0 && accepted < 2 -> accepted++ }
  :: atomic { leader != 0 ->
       if
       :: stamp != NEVER ->
          grant_stamp = stamp;
          grant_boot = stamp_boot;
          grant_revision = accepted
       :: else
       fi }
  :: atomic { leader != 0 &&
#ifdef FORCES_AT_ONCE
       true
#else
       (reported >= accepted || !may_hold)
#endif
       -> forced = accepted; safe() }
  :: atomic { leader < 2 ->
       leader++;
#ifndef FORGETS_FORMER_GRANTS
       floor = now + LEASE + DRIFT;
#endif
       stamp = NEVER;
       reported = 0;
       granted = 0 }
  od
}

proctype Clock() {
  do
  :: atomic { now < END -> now++; safe() }
  od
}

init {
  atomic {
    stamp = NEVER;
    grant_stamp = NEVER;
    run Daemon();
    run Leader();
    run Clock()
  }
}
