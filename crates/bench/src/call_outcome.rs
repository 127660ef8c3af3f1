/// How a call ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum Ending {
    /// No answer came at all.
    NoAnswer,
    /// The whole answer to the request came.
    Run,
    /// The request was refused as not run.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The answer was to another request.
    Foreign,
}

impl Ending {
    const ALL: [Self; 5] = [Self::NoAnswer, Self::Run, Self::NotRun, Self::Unknown, Self::Foreign];

    /// How `response` ends the call whose body was `body`.
    pub(crate) fn of(response: attohttpc::Result<attohttpc::Response>, body: &str) -> Self {
        let Ok(response) = response else { return Self::NoAnswer };
        let outcome = response.headers().get("Sardinevalve-Outcome");
        match outcome.and_then(|outcome| outcome.to_str().ok()) {
            Some("run") => Self::of_answer(response, body),
            Some("not-run") => Self::NotRun,
            Some("unknown") => Self::Unknown,
            _ => Self::NoAnswer,
        }
    }

    /// How the answer of an upstream ends the call whose body was `body`.
    pub(crate) fn of_answer(response: attohttpc::Response, body: &str) -> Self {
        let Ok(answer) = response.json::<serde_json::Value>() else { return Self::NoAnswer };
        if answer["body"] == body { Self::Run } else { Self::Foreign }
    }
}

impl From<u8> for Ending {
    fn from(number: u8) -> Self {
        Self::ALL[usize::from(number)]
    }
}
