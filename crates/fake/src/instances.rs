//! A stand-in for the platform, which drains and reboots the runners that it plays itself.

use super::*;

/// The platform with its runners.
#[derive(Debug)]
pub(crate) struct Instances {
    runners: BTreeMap<String, Arc<Runner>>,
    seen: Mutex<BTreeSet<String>>,
    calls: AtomicU64,
    settings: Platform,
}

/// What is asked of one runner.
#[derive(serde::Deserialize)]
struct Body {
    incarnation: u64,
}

/// Threads that answer calls.
const THREADS: usize = 4;

impl Instances {
    /// Serves the platform's interface for `runners`.
    pub(crate) fn start(settings: &Platform, runners: &[Arc<Runner>]) -> eyre::Result<()> {
        let server = tiny_http::Server::http(settings.listen).map_err(|e| eyre::eyre!(e))?;
        let server = Arc::new(server);
        let instances = Arc::new(Self {
            runners: runners.iter().map(|runner| (runner.name(), runner.clone())).collect(),
            seen: Mutex::default(),
            calls: AtomicU64::new(0),
            settings: settings.clone(),
        });
        for _ in 0..THREADS {
            let (instances, server) = (instances.clone(), server.clone());
            thread::spawn(move || {
                while let Ok(request) = server.recv() {
                    instances.answer(request);
                }
            });
        }
        Ok(())
    }

    fn answer(&self, mut request: tiny_http::Request) {
        let path = request.url().to_owned();
        let mut text = String::new();
        request.as_reader().read_to_string(&mut text).ok();
        if path == "/v1/instances" {
            return respond(request, 200, &self.report());
        }
        let status = self.put(&path, &text);
        let number = self.calls.fetch_add(1, Ordering::AcqRel) + 1;
        let lost = self.settings.lose_every.is_some_and(|every| number.is_multiple_of(every));
        respond(request, if lost { 502 } else { status }, &serde_json::json!({}));
    }

    fn put(&self, path: &str, text: &str) -> u16 {
        let parts: Vec<_> = path.trim_start_matches("/v1/instances/").split('/').collect();
        let [name, step, id] = parts.as_slice() else { return 404 };
        let (Some(runner), Ok(body)) = (self.runners.get(*name), serde_json::from_str(text)) else {
            return 404;
        };
        match *step {
            "drains" => runner.drained(),
            "reboots" => self.reboot(runner, id, body),
            _ => 404,
        }
    }

    fn reboot(&self, runner: &Arc<Runner>, id: &str, body: Body) -> u16 {
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        if !seen.insert(id.to_owned()) {
            return 200;
        }
        if runner.incarnation() != body.incarnation {
            return 409;
        }
        let time = Duration::from_millis(self.settings.reboot_ms);
        let runner = runner.clone();
        thread::spawn(move || runner.reboot(time));
        200
    }

    fn report(&self) -> serde_json::Value {
        self.runners.iter().map(|(name, runner)| (name.clone(), runner.report())).collect()
    }
}

fn respond(request: tiny_http::Request, status: u16, body: &serde_json::Value) {
    let response = tiny_http::Response::from_string(body.to_string()).with_status_code(status);
    request.respond(response).ok();
}
