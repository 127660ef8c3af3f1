//! Header names of the HTTP interfaces, limits on headers, and the rules for forwarding them.

pub(crate) const KIND: &str = "Sardinevalve-Kind";
pub(crate) const TENANT: &str = "Sardinevalve-Tenant";
pub(crate) const DEADLINE: &str = "Sardinevalve-Deadline-Ms";
pub(crate) const OUTCOME: &str = "Sardinevalve-Outcome";
pub(crate) const REQUEST: &str = "Sardinevalve-Request";
pub(crate) const ATTEMPT: &str = "Sardinevalve-Attempt";
pub(crate) const KEY: &str = "Idempotency-Key";
/// Value of the [`OUTCOME`] header, and outcome in the metrics, of a request that was not run.
pub(crate) const NOT_RUN: &str = "not-run";

/// Maximum number of headers of a caller's request or an upstream's answer.
pub(crate) const MAX_COUNT: usize = 64;

/// Maximum total size of the names and values of the headers of a caller's request, in bytes. Also
/// the maximum length of its URL.
pub(crate) const MAX_BYTES: usize = 16 * 1024;

/// Headers that are not forwarded: hop-by-hop headers, and headers about one connection or message,
/// which each sender sets itself.
const NOT_FORWARDED: [&str; 13] = [
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

/// Prefix of header names reserved for this system; headers with it are not forwarded.
const OWN_PREFIX: &str = "sardinevalve-";

/// The value of the header `name`, if present. Case is ignored, but a header whose name is in the
/// same case takes precedence over the others.
pub(crate) fn get<'a>(request: &'a tiny_http::Request, name: &str) -> Option<&'a str> {
    let header = request.headers().iter().find(|h| h.field.as_str().as_str() == name);
    let header = header.or_else(|| {
        request.headers().iter().find(|h| h.field.as_str().as_str().eq_ignore_ascii_case(name))
    });
    header.map(|header| header.value.as_str())
}

/// Creates a header; a value that is not valid in a header is replaced by an empty one.
pub(crate) fn make(name: &str, value: &str) -> tiny_http::Header {
    let header = tiny_http::Header::from_bytes(name, value);
    header.or_else(|()| tiny_http::Header::from_bytes(name, "")).expect("header names are ASCII")
}

/// Selects the headers to forward. `connection` is the value of the `Connection` header, which
/// lists further hop-by-hop headers.
pub(crate) fn forwarded<'a>(
    headers: impl Iterator<Item = (&'a str, &'a str)>,
    connection: &str,
) -> Vec<(String, String)> {
    let is_forwarded = |name: &str| {
        let name = name.to_ascii_lowercase();
        let mut hop_by_hop = connection.split(',');
        !NOT_FORWARDED.contains(&name.as_str())
            && !name.starts_with(OWN_PREFIX)
            && !hop_by_hop.any(|other| other.trim().eq_ignore_ascii_case(&name))
    };
    let headers = headers.filter(|(name, _)| is_forwarded(name));
    headers.map(|(name, value)| (name.to_owned(), value.to_owned())).collect()
}
