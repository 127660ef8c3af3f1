/* View leases: no daemon acts on an older configuration once a change is in force.
 *
 * Two leaders, one after the other, and a daemon. Time is a shared count of ticks; that clocks
 * differ is covered by the leader, which counts a lease as longer by DRIFT than its holder does.
 * Messages are looks at what was sent, so that they may be late or lost: a daemon's stamp is its
 * clock when it answered, and a grant is an echo of that stamp. A daemon may stand still at any
 * moment, since every step is a choice. */

#define LEASE 2
#define DRIFT 1
#define END 7
#define NEVER 255

byte now;

/* Accepted and in force; a change is accepted at a leader. */
byte accepted;
byte forced;

/* The leader: 0 none, 1 the first, 2 the second. */
byte leader;
byte floor;

/* What the daemon acts on, until when it may, its last stamp and the start that made it. */
byte revision;
byte until;
byte boot;
byte started;

/* What a leader has heard of the daemon, and when. */
byte stamp;
byte stamp_boot;
byte reported;
byte granted;

/* A grant on its way to the daemon. */
byte grant_stamp;
byte grant_boot;
byte grant_revision;

/* The daemon's own clock, which starts with it. */
#define clock (now - started)

#define has_view (until > clock)

#define may_hold (granted > now || floor > now)

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
