//! Parts of the state machine by themselves.

use super::*;

mod proposals;
