use super::*;

/// Client of the operators' HTTP interface of a daemon.
#[derive(Debug)]
pub(crate) struct Client {
    address: String,
    token: Option<String>,
}

/// Time within which a daemon must reply.
const REPLY_TIMEOUT: Duration = Duration::from_secs(20);

impl Client {
    /// A client that sends the token in `token_file`, if one is given.
    pub(crate) fn new(address: &str, token_file: Option<&Path>) -> eyre::Result<Self> {
        let token = token_file.map(|path| {
            fs::read_to_string(path)
                .wrap_err_with(|| format!("cannot read the token `{}`", path.display()))
        });
        let token = token.transpose()?.map(|token| token.trim().to_owned());
        Ok(Self { address: address.into(), token })
    }

    /// Gets `call`, a path below `/v1/`.
    pub(crate) fn get(&self, call: &str) -> eyre::Result<Reply> {
        self.call(attohttpc::get(self.url(call)))
    }

    /// The configuration of a revision; the current one by default.
    pub(crate) fn config(&self, revision: Option<Revision>) -> eyre::Result<Reply> {
        match revision {
            Some(revision) => self.get(&format!("config/{revision}")),
            None => self.get("config"),
        }
    }

    /// The current configuration and its revision.
    pub(crate) fn current_config(&self) -> eyre::Result<(Revision, Config)> {
        match self.config(None)? {
            Reply::Config { revision, config } => Ok((revision, config)),
            reply => bail!("unexpected reply `{reply:?}`"),
        }
    }

    /// Posts a request that changes the fleet. If its outcome is unknown, the error names the
    /// request id, with which the operator can safely repeat it.
    pub(crate) fn post(
        &self,
        call: &str,
        options: &RequestOptions,
        body: &serde_json::Value,
    ) -> eyre::Result<Reply> {
        let request = options.request_id();
        let post = attohttpc::post(self.url(call))
            .header("Request-Id", &request)
            .header("Author", &options.author);
        match self.call(post.json(body)?)? {
            Reply::Unknown => bail!("outcome is unknown: repeat with `--request {request}`"),
            reply => Ok(reply),
        }
    }

    /// Submits a job. It needs no request id, since its own id makes it safe to repeat.
    pub(crate) fn submit(&self, body: &serde_json::Value) -> eyre::Result<Reply> {
        self.call(attohttpc::post(self.url("jobs")).json(body)?)
    }

    pub(crate) fn cancel_job(&self, id: &str) -> eyre::Result<Reply> {
        self.call(attohttpc::delete(self.url(&format!("jobs/{id}"))))
    }

    pub(crate) fn status(&self) -> eyre::Result<Reply> {
        self.call(attohttpc::get(self.url("status")))
    }

    pub(crate) fn change_member(&self, change: &quorum::Change) -> eyre::Result<Reply> {
        self.call(attohttpc::post(self.url("members")).json(change)?)
    }

    /// Proposes a configuration as a change to revision `base`.
    pub(crate) fn apply(
        &self,
        text: &str,
        request: &str,
        author: &str,
        base: Revision,
    ) -> eyre::Result<Reply> {
        let call = attohttpc::post(self.url("changes"))
            .header("Request-Id", request)
            .header("Author", author)
            .header("Base-Revision", base);
        self.call(call.text(text))
    }

    /// URL of a call, which is a path below `/v1/`.
    fn url(&self, call: &str) -> String {
        format!("http://{}/v1/{call}", self.address)
    }

    fn call<B: attohttpc::body::Body>(
        &self,
        mut request: attohttpc::RequestBuilder<B>,
    ) -> eyre::Result<Reply> {
        if let Some(token) = &self.token {
            request = request.header("Authorization", format!("Bearer {token}"));
        }
        let response = request
            .follow_redirects(false)
            .proxy_settings(attohttpc::ProxySettings::builder().build())
            .timeout(REPLY_TIMEOUT)
            .send()
            .wrap_err_with(|| format!("cannot reach daemon `{}`", self.address))?;
        let text = response.text()?;
        match serde_json::from_str(&text) {
            Ok(reply) => Ok(reply),
            Err(_) => bail!("daemon `{}` refused: {}", self.address, refusal(&text)),
        }
    }
}

/// The error and the findings in the body of a refusal, one per line; the body itself if it is not
/// a refusal in JSON.
fn refusal(text: &str) -> String {
    #[derive(serde::Deserialize)]
    struct Refusal {
        error: String,
        #[serde(default)]
        findings: settings::Findings,
    }
    match serde_json::from_str::<Refusal>(text) {
        Ok(refusal) if refusal.findings.0.is_empty() => refusal.error,
        Ok(refusal) => format!("{}\n{}", refusal.error, refusal.findings),
        Err(_) => text.into(),
    }
}
