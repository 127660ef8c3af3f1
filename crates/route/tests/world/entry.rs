use super::*;

/// An entry of the log.
#[derive(Clone)]
pub enum Entry {
    Config(Arc<Config>),
    Serving(Announcement),
    Gone(Name),
    Route(Command),
}
