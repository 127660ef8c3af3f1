use super::*;

/// Keys with the times at which they are due. A key has at most one time.
#[derive(Debug)]
pub struct Queue<K> {
    /// Due times with sequence numbers and keys, earliest first. Replaced entries stay until they
    /// reach the top.
    heap: BinaryHeap<Reverse<(Time, u64, K)>>,
    /// Sequence number of the entry that was not replaced, by key.
    latest: Map<K, u64>,
    /// Last sequence number assigned.
    sequence: u64,
}

impl<K: Clone + Eq + Hash + Ord> Default for Queue<K> {
    fn default() -> Self {
        Self { heap: BinaryHeap::new(), latest: Map::default(), sequence: 0 }
    }
}

impl<K: Clone + Eq + Hash + Ord> Queue<K> {
    /// Schedules `key` for `at`, replacing the time it was scheduled for before.
    pub fn schedule(&mut self, key: K, at: Time) {
        self.sequence += 1;
        self.latest.insert(key.clone(), self.sequence);
        self.heap.push(Reverse((at, self.sequence, key)));
    }

    /// Time at which the next key is due.
    pub fn next_due(&mut self) -> Option<Time> {
        self.discard_replaced();
        self.heap.peek().map(|Reverse((at, _, _))| *at)
    }

    /// Removes and returns the earliest key that is due at `now`, if any.
    pub fn pop(&mut self, now: Time) -> Option<K> {
        if self.next_due()? > now {
            return None;
        }
        let Reverse((_, _, key)) = self.heap.pop()?;
        self.latest.remove(&key);
        Some(key)
    }

    /// Removes replaced entries from the top of the heap.
    fn discard_replaced(&mut self) {
        while let Some(Reverse((_, sequence, key))) = self.heap.peek() {
            if self.latest.get(key) == Some(sequence) {
                return;
            }
            self.heap.pop();
        }
    }
}
