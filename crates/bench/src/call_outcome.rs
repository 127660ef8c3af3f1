/// Outcome of a call as its caller sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum CallOutcome {
    /// No valid answer came.
    NoAnswer,
    /// The request was answered completely.
    Run,
    /// The request was refused as not run.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The answer belongs to another request.
    Foreign,
}

impl CallOutcome {
    const ALL: [Self; 5] = [Self::NoAnswer, Self::Run, Self::NotRun, Self::Unknown, Self::Foreign];

    /// Outcome of a call with `body` to a daemon.
    pub(crate) fn from_response(
        response: attohttpc::Result<attohttpc::Response>,
        body: &str,
    ) -> Self {
        let Ok(response) = response else { return Self::NoAnswer };
        let outcome = response.headers().get("Sardinevalve-Outcome");
        match outcome.and_then(|outcome| outcome.to_str().ok()) {
            Some("run") => Self::from_answer(response, body),
            Some("not-run") => Self::NotRun,
            Some("unknown") => Self::Unknown,
            _ => Self::NoAnswer,
        }
    }

    /// Outcome of a call with `body`, from the answer of an upstream, which repeats the body.
    pub(crate) fn from_answer(response: attohttpc::Response, body: &str) -> Self {
        let Ok(answer) = response.json::<serde_json::Value>() else { return Self::NoAnswer };
        if answer["body"] == body { Self::Run } else { Self::Foreign }
    }
}

impl From<u8> for CallOutcome {
    fn from(number: u8) -> Self {
        Self::ALL[usize::from(number)]
    }
}
