//! Metrics of a daemon.
