//! Metrics of a daemon in the OpenMetrics text format. Labels whose values callers choose have a
//! bounded number of values: the first ones seen keep their own time series, and all others are
//! counted as `other`.

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

mod bounded_label;
mod gauges;
mod metrics;
mod observation;
mod registered_gauges;

use {bounded_label::BoundedLabel, registered_gauges::RegisteredGauges};
pub use {gauges::Gauges, metrics::Metrics, observation::Observation};
