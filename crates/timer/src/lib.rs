//! Queue of timers, identified by keys. The event loop that owns the queue waits until the next
//! timer is due and handles due keys as events. Scheduling a key again replaces its earlier time,
//! so timers need not be cancelled.

use {
    model::{Map, Time},
    std::{cmp::Reverse, collections::BinaryHeap, hash::Hash},
};

mod queue;

pub use queue::Queue;
