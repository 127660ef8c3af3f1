//! Calls to the platform. The path of each call contains its id, so that the platform can tell a
//! repetition from a new call.

use super::*;

/// Maximum number of concurrent calls.
const THREADS: usize = 8;

/// Time within which an HTTP request to the platform must be completed.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Starts the threads that make calls to the platform at `address`; without an address no call is
/// accepted.
pub(crate) fn start(
    address: Option<SocketAddr>,
    events: Sender<Event>,
) -> Sender<node::platform::Call> {
    let (sender, calls) = unbounded::<node::platform::Call>();
    for _ in 0..THREADS {
        let (calls, events) = (calls.clone(), events.clone());
        thread::spawn(move || {
            for call in calls {
                let accepted = address.is_some_and(|address| perform(address, &call));
                let report = node::platform::Report { call, accepted };
                if events.send(Event::Platform(report)).is_err() {
                    return;
                }
            }
        });
    }
    sender
}

/// Makes a call; returns whether the platform has accepted every step of it.
fn perform(address: SocketAddr, call: &node::platform::Call) -> bool {
    let node::platform::Action::Reboot { instance, incarnation, .. } = &call.action;
    let body = serde_json::json!({ "incarnation": incarnation });
    let steps = ["drains", "reboots"];
    steps.iter().all(|step| {
        let url = format!("http://{address}/v1/instances/{instance}/{step}/{}", call.id);
        match put(&url, &body) {
            Ok(200) => true,
            Ok(status) => {
                log::info!(call = &*call.id, status; "the platform did not accept {step}");
                false
            }
            Err(error) => {
                log::warn!(call = &*call.id; "cannot call the platform: {error}");
                false
            }
        }
    })
}

fn put(url: &str, body: &serde_json::Value) -> attohttpc::Result<u16> {
    let response = attohttpc::put(url)
        .follow_redirects(false)
        .proxy_settings(attohttpc::ProxySettings::builder().build())
        .timeout(CALL_TIMEOUT)
        .json(body)?
        .send()?;
    Ok(response.status().as_u16())
}
