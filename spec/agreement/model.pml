/* Consensus: there is at most one leader per term, and committed entries are never lost.
 *
 * Three voters. An entry is represented by the term in which it was appended. A message is
 * modelled as a read of the durable state of its sender at any later step, which covers lost, late
 * and duplicated messages: a vote request carries the log of the candidate, and entries are copied
 * from the log of the leader of the term. A crash loses nothing that a message has carried, since
 * records are synced before they are acknowledged. */

#define VOTERS 3
#ifndef TERMS
#define TERMS 3
#endif
#ifndef LENGTH
#define LENGTH 2
#endif

#define NOBODY 255

byte term[VOTERS];
byte vote[VOTERS];
bool leads[VOTERS];
byte length[VOTERS];
byte entry[VOTERS * LENGTH];
/* Votes for each member in its term, as a bit set; per leader and voter, the length of the log that
 * the leader knows the voter to share with it; and the commit index of each member as leader. */
byte votes[VOTERS];
byte held[VOTERS * VOTERS];
byte committed[VOTERS];

/* For the assertions: the leader of each term, and the committed entries with the term in which
 * each was committed. */
byte leaders[TERMS + 1];
byte committed_entry[LENGTH];
byte committed_in[LENGTH];
byte committed_length;

#define last_term(v) (length[v] == 0 -> 0 : entry[v * LENGTH + length[v] - 1])

#ifdef VOTES_WITHOUT_LOG
#define up_to_date(c, v) true
#else
#define up_to_date(c, v) (last_term(c) > last_term(v) || \
  (last_term(c) == last_term(v) && length[c] >= length[v]))
#endif

#ifdef VOTES_TWICE
#define free_vote(c, v) true
#else
#define free_vote(c, v) (vote[v] == NOBODY || vote[v] == c)
#endif

#ifdef COMMITS_FORMER_TERMS
#define may_commit(l, i) true
#else
#define may_commit(l, i) (entry[l * LENGTH + i - 1] == term[l])
#endif

#define bits(m) (((m) & 1) + (((m) >> 1) & 1) + (((m) >> 2) & 1))

/* Voter `v` enters term `t` as a follower. */
inline enter(v, t) {
  term[v] = t;
  vote[v] = NOBODY;
  leads[v] = false;
  votes[v] = 0;
  forget(v)
}

/* Member `v` drops what it knew of the logs of others. */
inline forget(v) {
  held[v * VOTERS + 0] = 0;
  held[v * VOTERS + 1] = 0;
  held[v * VOTERS + 2] = 0
}

/* Member `c` starts an election in the next term. */
inline start_election(c) {
  enter(c, term[c] + 1);
  vote[c] = c;
  votes[c] = 1 << c
}

/* Voter `v` votes for `c`. */
inline give_vote(c, v) {
  if
  :: term[c] > term[v] -> enter(v, term[c])
  :: else
  fi;
  vote[v] = c;
  votes[c] = votes[c] | (1 << v)
}

/* Candidate `c` becomes leader: the only one of its term, with all entries committed in former
 * terms. */
inline lead(c) {
  assert(leaders[term[c]] == NOBODY || leaders[term[c]] == c);
  leaders[term[c]] = c;
  leads[c] = true;
  forget(c);
  k = 0;
  do
  :: k < committed_length ->
     assert(committed_in[k] >= term[c] ||
            (k < length[c] && entry[c * LENGTH + k] == committed_entry[k]));
     k++
  :: else -> break
  od;
  k = 0
}

/* `v` copies the first entry in which its log differs from that of leader `l`, and drops those
 * after it. */
inline replicate(l, v) {
  if
  :: term[l] > term[v] -> enter(v, term[l])
  :: else
  fi;
  k = 0;
  do
  :: k < length[l] && k < length[v] && entry[v * LENGTH + k] == entry[l * LENGTH + k] -> k++
  :: else -> break
  od;
  if
  :: k < length[l] ->
     entry[v * LENGTH + k] = entry[l * LENGTH + k];
     length[v] = k + 1;
     k++;
     i = k;
     do
     :: i < LENGTH -> entry[v * LENGTH + i] = 0; i++
     :: else -> break
     od
  :: else
  fi;
  held[l * VOTERS + v] = k;
  i = 0;
  k = 0
}

/* Leader `l` commits `n` more entries; those committed before must be the same. */
inline commit(l, n) {
  committed[l] = committed[l] + n;
  k = 0;
  do
  :: k < committed[l] ->
     if
     :: k < committed_length -> assert(committed_entry[k] == entry[l * LENGTH + k])
     :: else ->
        committed_entry[k] = entry[l * LENGTH + k];
        committed_in[k] = term[l];
        committed_length = k + 1
     fi;
     k++
  :: else -> break
  od;
  k = 0
}

#define holds(l, v, n) (v == l || held[l * VOTERS + v] >= n)
#define majority_holds(l, n) (holds(l, 0, n) + holds(l, 1, n) + holds(l, 2, n) >= 2)

proctype Member(byte me) {
  byte other, k, i;
  do
  :: atomic { !leads[me] && term[me] < TERMS -> start_election(me) }
  :: atomic {
       votes[me] != 0 && !leads[me] && vote[me] == me ->
       if
       :: other = (me + 1) % VOTERS
       :: other = (me + 2) % VOTERS
       fi;
       if
       :: (term[me] > term[other] ||
           (term[me] == term[other] && free_vote(me, other))) &&
          up_to_date(me, other) -> give_vote(me, other)
       :: else
       fi;
       other = 0
     }
  :: atomic {
       !leads[me] && bits(votes[me]) >= 2 -> lead(me)
     }
  :: atomic {
       leads[me] && length[me] < LENGTH ->
       entry[me * LENGTH + length[me]] = term[me];
       length[me]++
     }
  :: atomic {
       leads[me] ->
       if
       :: other = (me + 1) % VOTERS
       :: other = (me + 2) % VOTERS
       fi;
       if
       :: term[other] <= term[me] -> replicate(me, other)
       :: else
       fi;
       other = 0
     }
  :: atomic {
       leads[me] && committed[me] < length[me] &&
       majority_holds(me, committed[me] + 1) && may_commit(me, committed[me] + 1) ->
       commit(me, 1)
     }
  :: atomic {
       leads[me] && committed[me] + 1 < length[me] &&
       majority_holds(me, committed[me] + 2) && may_commit(me, committed[me] + 2) ->
       commit(me, 2)
     }
  /* A restart, which loses all state that is not durable. */
  :: atomic { leads[me] || votes[me] != 0 ->
       leads[me] = false; votes[me] = 0; forget(me); committed[me] = 0 }
  od
}

init {
  byte n;
  atomic {
    n = 0;
    do
    :: n <= TERMS -> leaders[n] = NOBODY; n++
    :: else -> break
    od;
    n = 0;
    do
    :: n < VOTERS -> vote[n] = NOBODY; n++
    :: else -> break
    od;
    n = 0;
    run Member(0);
    run Member(1);
    run Member(2)
  }
}
