use super::*;

/// Calls of a runner to the daemons.
#[derive(Debug, Clone)]
pub(crate) struct Client {
    daemons: Vec<String>,
}

/// Time within which a daemon must reply.
const TIMEOUT: Duration = Duration::from_secs(5);

impl Client {
    /// Calls that try `daemons` in turn, from the one at `first` on.
    pub(crate) fn new(daemons: &[String], first: usize) -> Self {
        let mut daemons = daemons.to_vec();
        let first = first % daemons.len().max(1);
        daemons.rotate_left(first);
        Self { daemons }
    }

    /// Calls the first daemon that accepts; whether one did.
    pub(crate) fn call<T: serde::Serialize>(&self, call: &str, body: &T) -> bool {
        self.daemons.iter().any(|daemon| post(daemon, call, body).unwrap_or(false))
    }
}

fn post<T: serde::Serialize>(daemon: &str, call: &str, body: &T) -> attohttpc::Result<bool> {
    let response = attohttpc::post(format!("http://{daemon}/v1/{call}"))
        .proxy_settings(attohttpc::ProxySettings::builder().build())
        .timeout(TIMEOUT)
        .json(body)?
        .send()?;
    Ok(response.is_success())
}
