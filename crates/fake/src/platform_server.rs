//! A simulator of the platform. It drains and reboots the upstreams that are simulated by the same
//! process.

use super::*;

/// HTTP server with the interface of the platform.
#[derive(Debug)]
pub(crate) struct PlatformServer {
    upstreams: BTreeMap<String, Arc<Upstream>>,
    /// Ids of the reboots that were ordered. An order with a known id is answered with status 200
    /// and not carried out, even if the first order was refused.
    reboot_ids: Mutex<BTreeSet<String>>,
    /// Number of calls answered, not counting those for the report.
    calls: AtomicU64,
    settings: PlatformArguments,
}

/// Body of a call that concerns one upstream.
#[derive(serde::Deserialize)]
struct CallBody {
    incarnation: u64,
}

/// Number of threads that answer calls.
const THREADS: usize = 4;

impl PlatformServer {
    /// Serves the platform's interface for `upstreams`.
    pub(crate) fn start(
        settings: &PlatformArguments,
        upstreams: &[Arc<Upstream>],
    ) -> eyre::Result<()> {
        let server = tiny_http::Server::http(settings.listen).map_err(|e| eyre::eyre!(e))?;
        let server = Arc::new(server);
        let platform = Arc::new(Self {
            upstreams: upstreams
                .iter()
                .map(|upstream| (upstream.name(), upstream.clone()))
                .collect(),
            reboot_ids: Mutex::default(),
            calls: AtomicU64::new(0),
            settings: settings.clone(),
        });
        for _ in 0..THREADS {
            let (platform, server) = (platform.clone(), server.clone());
            thread::spawn(move || {
                while let Ok(request) = server.recv() {
                    platform.answer(request);
                }
            });
        }
        Ok(())
    }

    /// Answers a call. Every `lose_every`-th answer is replaced by status 502 after the call has
    /// taken effect.
    fn answer(&self, mut request: tiny_http::Request) {
        let path = request.url().to_owned();
        let mut text = String::new();
        request.as_reader().read_to_string(&mut text).ok();
        if path == "/v1/instances" {
            return respond(request, 200, &self.report());
        }
        let status = self.handle_call(&path, &text);
        let number = self.calls.fetch_add(1, Ordering::AcqRel) + 1;
        let lost = self.settings.lose_every.is_some_and(|every| number.is_multiple_of(every));
        respond(request, if lost { 502 } else { status }, &serde_json::json!({}));
    }

    /// Carries out a call and returns its status.
    fn handle_call(&self, path: &str, text: &str) -> u16 {
        let parts: Vec<_> = path.trim_start_matches("/v1/instances/").split('/').collect();
        let [name, action, id] = parts.as_slice() else { return 404 };
        let (Some(upstream), Ok(body)) = (self.upstreams.get(*name), serde_json::from_str(text))
        else {
            return 404;
        };
        match *action {
            "drains" => upstream.drained(),
            "reboots" => self.reboot(upstream, id, body),
            _ => 404,
        }
    }

    /// Starts a reboot of the given incarnation and returns the status: 409 if the upstream has
    /// another incarnation.
    fn reboot(&self, upstream: &Arc<Upstream>, id: &str, body: CallBody) -> u16 {
        let mut ids = self.reboot_ids.lock().unwrap_or_else(PoisonError::into_inner);
        if !ids.insert(id.to_owned()) {
            return 200;
        }
        if upstream.incarnation() != body.incarnation {
            return 409;
        }
        let downtime = Duration::from_millis(self.settings.reboot_ms);
        let upstream = upstream.clone();
        thread::spawn(move || upstream.reboot(downtime));
        200
    }

    /// Number of reboots and number of requests cut off, by upstream.
    fn report(&self) -> serde_json::Value {
        self.upstreams.iter().map(|(name, upstream)| (name.clone(), upstream.report())).collect()
    }
}

fn respond(request: tiny_http::Request, status: u16, body: &serde_json::Value) {
    let response = tiny_http::Response::from_string(body.to_string()).with_status_code(status);
    request.respond(response).ok();
}
