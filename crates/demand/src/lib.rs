//! Estimates the demand of a pool from what has arrived. Pure: no clock, no network, no configuration
//! of a deployment.

use {
    model::{Name, Time},
    serde::{Deserialize, Serialize},
    std::{collections::VecDeque, time::Duration},
};

mod arrivals;
mod turns;

pub use {
    arrivals::Arrivals,
    turns::{Turn, Turns},
};
