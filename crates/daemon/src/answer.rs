/// A whole answer of an upstream.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) content_type: Option<String>,
    pub(crate) body: Vec<u8>,
}

impl Answer {
    /// The answer as another daemon, or a resend, gets it.
    pub(crate) fn to_route(&self) -> route::Answer {
        route::Answer {
            status: self.status,
            content_type: self.content_type.clone(),
            body: self.body.clone(),
        }
    }
}
