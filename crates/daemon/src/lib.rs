//! The daemon process around the state machine of crate `node`: I/O threads turn input into events,
//! and one loop feeds them to the state machine and carries out the resulting effects. All
//! decisions are made in `node`.

use {
    clap::{Parser, Subcommand},
    crossbeam::channel::{Receiver, RecvTimeoutError, Sender, bounded, unbounded},
    eyre::WrapErr,
    model::{Map, Name, Time},
    node::{Effect, Event, Ticket},
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::{
        collections::{BTreeMap, VecDeque},
        fs,
        io::{BufReader, BufWriter, Cursor, ErrorKind, Read, Write},
        net::{Shutdown, SocketAddr, TcpListener, TcpStream},
        path::{Path, PathBuf},
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

mod acceptor;
mod answer_cache;
mod arguments;
mod call;
mod callers;
mod clock;
mod connections;
mod disk_writer;
mod engine;
mod file_limit;
mod header;
mod http;
mod in_flight;
mod initial_state;
mod key_reload;
mod limits;
mod logging;
mod metrics_source;
mod operators;
mod outbound;
mod pending_replies;
mod pending_request;
mod platform;
mod pool;
mod recording;
mod refused_connections;
mod replay;
mod request_timing;
mod response;
mod run;
mod signals;
mod step;
mod tokens;
mod upstreams;

use route::Answer;
pub use run::run;
use {
    acceptor::Acceptor, answer_cache::AnswerCache, arguments::Arguments, call::Call,
    callers::Callers, clock::Clock, disk_writer::DiskWriter, engine::Engine,
    in_flight::InFlightGuard, initial_state::InitialState, limits::Limits,
    metrics_source::MetricsSource, pending_replies::PendingReplies,
    pending_request::PendingRequest, pool::Pool, recording::Recording,
    refused_connections::RefusedConnections, request_timing::RequestTiming, step::Step,
    tokens::Tokens,
};

/// Locks `mutex`, ignoring poisoning: no critical section leaves inconsistent data behind when it
/// panics.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
