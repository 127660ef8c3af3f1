//! The daemon around the reducer: threads that turn the outside into events, and one loop that
//! reduces them and hands the effects out. Nothing here decides anything.

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
mod arguments;
mod busy;
mod call;
mod callers;
mod clock;
mod connections;
mod disk;
mod engine;
mod files;
mod header;
mod held;
mod http;
mod kept;
mod limits;
mod logging;
mod operators;
mod origin;
mod outbound;
mod platform;
mod pool;
mod recording;
mod refused;
mod renewal;
mod replay;
mod response;
mod run;
mod scrape;
mod signals;
mod step;
mod tickets;
mod tokens;
mod trace;
mod upstreams;

use route::Answer;
pub use run::run;
use {
    acceptor::Acceptor, arguments::Arguments, busy::Busy, call::Call, callers::Callers,
    clock::Clock, disk::Disk, engine::Engine, held::Held, kept::Kept, limits::Limits,
    origin::Origin, pool::Pool, recording::Recording, refused::Refused, scrape::Scrape, step::Step,
    tickets::Tickets, tokens::Tokens, trace::Trace,
};

/// Locks `mutex`; a thread that panicked while it held the lock left whole data behind.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
