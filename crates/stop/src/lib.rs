//! Plan of a planned stop, shared by the daemons. It holds no state but the time of the signal and the
//! limits of the settings, and reads no clock.
//!
//! A daemon that was asked to stop reports itself as not ready and goes on serving, since the load
//! balancer needs some time to redirect callers. Then it drains: it takes no more connections, closes
//! the idle ones, and ends once every request that it has read is answered. If the platform kills
//! processes that take too long, each call has a deadline early enough for its answer to be sent.

use {model::Time, std::time::Duration};

mod limits;
mod phase;
mod plan;

pub use {limits::Limits, phase::Phase, plan::Plan};
