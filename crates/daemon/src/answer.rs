/// A whole answer of an upstream.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    /// Headers that are passed on.
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
}

/// The header that goes with an answer wherever it is passed.
const CONTENT_TYPE: &str = "content-type";

impl Answer {
    /// The answer as another daemon, or a resend, gets it.
    pub(crate) fn to_route(&self) -> route::Answer {
        let content_type = self.headers.iter().find(|(name, _)| name == CONTENT_TYPE);
        route::Answer {
            status: self.status,
            content_type: content_type.map(|(_, value)| value.clone()),
            body: self.body.clone(),
        }
    }
}

impl From<route::Answer> for Answer {
    fn from(answer: route::Answer) -> Self {
        let route::Answer { status, content_type, body } = answer;
        let content_type = content_type.map(|value| (CONTENT_TYPE.to_owned(), value));
        Self { status, headers: content_type.into_iter().collect(), body }
    }
}
