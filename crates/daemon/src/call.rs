/// A caller's request as it goes to an upstream.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) kind: String,
    pub(crate) tenant: String,
    pub(crate) content_type: Option<String>,
    pub(crate) body: Vec<u8>,
}
