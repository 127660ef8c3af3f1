//! Estimates the demand of a pool from what has arrived. Pure: no clock, no network, no configuration
//! of a deployment.

use {
    model::Time,
    std::{collections::VecDeque, time::Duration},
};

mod arrivals;

pub use arrivals::Arrivals;
