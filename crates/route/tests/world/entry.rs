use super::*;

/// An entry of the replicated log.
#[derive(Clone)]
pub enum Entry {
    Config(Arc<Config>),
    Serving(Announcement),
    NotServing(Name),
    Route(Command),
}
