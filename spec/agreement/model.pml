/* Agreement: one leader a term, and accepted entries survive.
 *
 * Three voters. An entry is the number of the term in which it was appended. A message is a look at
 * what its sender has made durable, so that it may be lost, late or doubled: a vote is asked with a
 * log that the candidate had, and entries are taken from a leader's log of its term. A crash loses
 * nothing that a message has told, since records are synced before they are answered. */

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
/* Voters that voted for each in its term, and up to where they are known to hold its log. */
byte votes[VOTERS];
byte held[VOTERS * VOTERS];
byte committed[VOTERS];

/* Leader of each term, and the accepted entries with the term in which each was accepted. */
byte leaders[TERMS + 1];
byte accepted[LENGTH];
byte accepted_in[LENGTH];
byte accepted_length;

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

inline enter(v, t) {
  term[v] = t;
  vote[v] = NOBODY;
  leads[v] = false;
  votes[v] = 0;
  forget(v)
}

inline forget(v) {
  held[v * VOTERS + 0] = 0;
  held[v * VOTERS + 1] = 0;
  held[v * VOTERS + 2] = 0
}

inline stand(c) {
  enter(c, term[c] + 1);
  vote[c] = c;
  votes[c] = 1 << c
}

inline give_vote(c, v) {
  if
  :: term[c] > term[v] -> enter(v, term[c])
  :: else
  fi;
  vote[v] = c;
  votes[c] = votes[c] | (1 << v)
}

inline lead(c) {
  assert(leaders[term[c]] == NOBODY || leaders[term[c]] == c);
  leaders[term[c]] = c;
  leads[c] = true;
  forget(c);
  k = 0;
  do
  :: k < accepted_length ->
     assert(accepted_in[k] >= term[c] ||
            (k < length[c] && entry[c * LENGTH + k] == accepted[k]));
     k++
  :: else -> break
  od;
  k = 0
}

/* `v` takes the log of leader `l`; an entry at a time, for `n` entries of it match. */
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

/* Leader `l` commits `n` entries more. */
inline commit(l, n) {
  committed[l] = committed[l] + n;
  k = 0;
  do
  :: k < committed[l] ->
     if
     :: k < accepted_length -> assert(accepted[k] == entry[l * LENGTH + k])
     :: else ->
        accepted[k] = entry[l * LENGTH + k];
        accepted_in[k] = term[l];
        accepted_length = k + 1
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
  :: atomic { !leads[me] && term[me] < TERMS -> stand(me) }
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
