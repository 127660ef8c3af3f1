/// A whole answer of an upstream.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    /// Headers that are passed on.
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
}
