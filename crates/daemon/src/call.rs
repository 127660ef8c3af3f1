/// A caller's request as it goes to an upstream.
#[derive(Debug)]
pub(crate) struct Call {
    /// Identity of the request in logs, at the caller and at the upstream.
    pub(crate) id: String,
    pub(crate) method: String,
    pub(crate) service: String,
    pub(crate) path: String,
    pub(crate) kind: String,
    pub(crate) tenant: String,
    /// Headers that are passed on.
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
}
