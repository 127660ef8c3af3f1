//! The timer service. Parts subscribe to a key for a time; the loop that owns the queue waits for
//! the next one and hands due keys back as events. Subscribing to a key again replaces its former
//! time, so that no part needs to cancel.

use {
    model::{Map, Time},
    std::{cmp::Reverse, collections::BinaryHeap, hash::Hash},
};

mod queue;

pub use queue::Queue;
