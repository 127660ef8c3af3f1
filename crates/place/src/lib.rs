//! Jobs on workers.
