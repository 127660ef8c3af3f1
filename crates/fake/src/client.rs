use super::*;

/// Client with which an upstream calls the upstream interface of the daemons.
#[derive(Debug, Clone)]
pub(crate) struct Client {
    daemons: Vec<String>,
}

/// Time within which a daemon must reply.
const REPLY_TIMEOUT: Duration = Duration::from_secs(5);

impl Client {
    /// A client that tries `daemons` in turn, starting with the one at index `first`.
    pub(crate) fn new(daemons: &[String], first: usize) -> Self {
        let mut daemons = daemons.to_vec();
        let first = first % daemons.len().max(1);
        daemons.rotate_left(first);
        Self { daemons }
    }

    /// Sends a call to one daemon after the other until one accepts it. Returns whether one did.
    pub(crate) fn call<T: serde::Serialize>(&self, call: &str, body: &T) -> bool {
        self.daemons.iter().any(|daemon| post(daemon, call, body).unwrap_or(false))
    }
}

fn post<T: serde::Serialize>(daemon: &str, call: &str, body: &T) -> attohttpc::Result<bool> {
    let response = attohttpc::post(format!("http://{daemon}/v1/{call}"))
        .proxy_settings(attohttpc::ProxySettings::builder().build())
        .timeout(REPLY_TIMEOUT)
        .json(body)?
        .send()?;
    Ok(response.is_success())
}
