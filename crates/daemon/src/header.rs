//! Header names of the interfaces, and which headers are passed on.

pub(crate) const KIND: &str = "Sardinevalve-Kind";
pub(crate) const TENANT: &str = "Sardinevalve-Tenant";
pub(crate) const DEADLINE: &str = "Sardinevalve-Deadline-Ms";
pub(crate) const OUTCOME: &str = "Sardinevalve-Outcome";
pub(crate) const REQUEST: &str = "Sardinevalve-Request";
pub(crate) const ATTEMPT: &str = "Sardinevalve-Attempt";
pub(crate) const KEY: &str = "Idempotency-Key";
pub(crate) const NOT_RUN: &str = "not-run";

/// Most headers of a request or an answer.
pub(crate) const MAX_COUNT: usize = 64;

/// Largest sum of names and values of the headers of a request, in bytes.
pub(crate) const MAX_BYTES: usize = 16 * 1024;

/// Headers that concern one connection, or that the sender of a message writes itself.
const NOT_PASSED: [&str; 13] = [
    "accept-encoding",
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Start of the names that this system gives a meaning to.
const OWN_PREFIX: &str = "sardinevalve-";

/// The value of the header `name`, where the request carries it.
pub(crate) fn get<'a>(request: &'a tiny_http::Request, name: &str) -> Option<&'a str> {
    let header = request.headers().iter().find(|h| h.field.as_str().as_str() == name);
    let header = header.or_else(|| {
        request.headers().iter().find(|h| h.field.as_str().as_str().eq_ignore_ascii_case(name))
    });
    header.map(|header| header.value.as_str())
}

/// A header; a value that cannot stand in one is left empty.
pub(crate) fn make(name: &str, value: &str) -> tiny_http::Header {
    let header = tiny_http::Header::from_bytes(name, value);
    header.or_else(|()| tiny_http::Header::from_bytes(name, "")).expect("header names are ASCII")
}

/// The headers among `all` that are passed on; `connection` is the value of `Connection`.
pub(crate) fn passed<'a>(
    all: impl Iterator<Item = (&'a str, &'a str)>,
    connection: &str,
) -> Vec<(String, String)> {
    let passes = |name: &str| {
        let name = name.to_ascii_lowercase();
        let mut named = connection.split(',');
        !NOT_PASSED.contains(&name.as_str())
            && !name.starts_with(OWN_PREFIX)
            && !named.any(|other| other.trim().eq_ignore_ascii_case(&name))
    };
    let all = all.filter(|(name, _)| passes(name));
    all.map(|(name, value)| (name.to_owned(), value.to_owned())).collect()
}
