//! Metrics of a daemon, in the text format of OpenMetrics. Label values that callers choose are
//! bounded: the first ones keep their names, and all others share one.

use {
    prometheus_client::{
        encoding::{EncodeLabelSet, text},
        metrics::{
            counter::Counter,
            family::Family,
            gauge::Gauge,
            histogram::{Histogram, exponential_buckets},
        },
        registry::Registry,
    },
    std::{
        collections::BTreeSet,
        sync::{PoisonError, RwLock},
        time::Duration,
    },
};

mod bounded;
mod gauges;
mod metrics;
mod observation;
mod present;

use {bounded::Bounded, present::Present};
pub use {gauges::Gauges, metrics::Metrics, observation::Observation};
