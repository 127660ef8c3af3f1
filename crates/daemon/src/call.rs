/// A caller's request, as forwarded to an upstream.
#[derive(Debug)]
pub(crate) struct Call {
    /// Id of the request in logs, and in headers to the caller and the upstream.
    pub(crate) id: String,
    pub(crate) method: String,
    pub(crate) service: String,
    pub(crate) path: String,
    pub(crate) kind: String,
    pub(crate) tenant: String,
    /// Headers to forward.
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
}
