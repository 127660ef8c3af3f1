//! Header names of the callers' interface.

pub(crate) const KIND: &str = "Sardinevalve-Kind";
pub(crate) const TENANT: &str = "Sardinevalve-Tenant";
pub(crate) const DEADLINE: &str = "Sardinevalve-Deadline-Ms";
pub(crate) const OUTCOME: &str = "Sardinevalve-Outcome";
pub(crate) const KEY: &str = "Idempotency-Key";
pub(crate) const NOT_RUN: &str = "not-run";

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
