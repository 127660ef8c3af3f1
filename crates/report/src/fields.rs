use super::*;

/// Fields of a `why` text: `name value` pairs, separated by commas. Names of pools, queues
/// and organisations may contain commas, so these come last.
#[derive(Debug)]
pub(crate) struct Fields<'a> {
    fields: BTreeMap<&'a str, &'a str>,
    pub(crate) pool: Option<&'a str>,
    pub(crate) queue: Option<&'a str>,
    pub(crate) organisation: Option<&'a str>,
}

impl<'a> Fields<'a> {
    pub(crate) fn parse(why: &'a str) -> Self {
        let (why, organisation) = match why.split_once(", organisation ") {
            Some((why, organisation)) => (why, Some(organisation)),
            None => (why, None),
        };
        let (why, queue) = match why.split_once(", queue ") {
            Some((why, queue)) => (why, Some(queue)),
            None => (why, None),
        };
        let (why, pool) = match why.split_once(", pool ") {
            Some((why, pool)) => (why, Some(pool)),
            None => (why, None),
        };
        let fields = why.split(", ").map(|field| field.split_once(' ').unwrap_or((field, "")));
        Self { fields: fields.collect(), pool, queue, organisation }
    }

    /// Value of a field; `None` if it is missing or not a number.
    pub(crate) fn number(&self, name: &str) -> Option<u64> {
        self.fields.get(name)?.parse().ok()
    }

    /// The same, with 0 for a field that is missing.
    pub(crate) fn number_or_zero(&self, name: &str) -> u64 {
        self.number(name).unwrap_or_default()
    }

    /// Whether a field is there.
    pub(crate) fn has(&self, name: &str) -> bool {
        self.fields.contains_key(name)
    }

    /// Names of all fields but pool, queue and organisation.
    pub(crate) fn names(&self) -> impl Iterator<Item = &'a str> {
        self.fields.keys().copied()
    }
}
