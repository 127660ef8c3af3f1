//! The HTTP interface for upstreams.

use super::*;

/// Maximum size of a request body, in bytes; an announcement is the largest.
const MAX_BODY_BYTES: usize = 64 * 1024;

pub(crate) fn start(
    address: SocketAddr,
    events: Sender<Event>,
) -> eyre::Result<PendingReplies<node::upstream::Reply>> {
    let replies = PendingReplies::default();
    let server = Server { replies: replies.clone(), events };
    http::serve(address, Limits::UPSTREAMS, move |request| server.handle(request))?;
    Ok(replies)
}

#[derive(Clone)]
struct Server {
    replies: PendingReplies<node::upstream::Reply>,
    events: Sender<Event>,
}

/// Body of `renew` and `leave`: an instance and the incarnation (start) that makes the call. Error
/// answers to malformed bodies contain the name of this type.
#[derive(serde::Deserialize)]
struct Start {
    instance: Name,
    incarnation: u64,
}

impl Server {
    fn handle(&self, mut request: tiny_http::Request) {
        match call(&mut request) {
            Ok(call) => self.dispatch(request, call),
            Err(failure) => http::respond(request, failure.status, &failure),
        }
    }

    /// Passes `call` to the state machine, and responds with its reply.
    fn dispatch(&self, request: tiny_http::Request, call: node::upstream::Call) {
        let reply = self.replies.call(&self.events, |ticket| Event::Upstream { ticket, call });
        let reply = reply.unwrap_or(node::upstream::Reply::Unknown);
        http::respond(request, status_code(reply), &reply);
    }
}

/// Reads the call that `request` makes.
fn call(request: &mut tiny_http::Request) -> Result<node::upstream::Call, http::Failure> {
    let path = request.url().to_owned();
    if *request.method() != tiny_http::Method::Post {
        return Err(http::failure("use `POST`").with_status(405));
    }
    match path.as_str() {
        "/v1/announce" => Ok(node::upstream::Call::Announce(http::json(request, MAX_BODY_BYTES)?)),
        "/v1/renew" => {
            let Start { instance, incarnation } = http::json(request, MAX_BODY_BYTES)?;
            Ok(node::upstream::Call::Renew { instance, incarnation })
        }
        "/v1/leave" => {
            let Start { instance, incarnation } = http::json(request, MAX_BODY_BYTES)?;
            Ok(node::upstream::Call::Leave { instance, incarnation })
        }
        _ => Err(http::failure(format!("no such call `{path}`")).with_status(404)),
    }
}

fn status_code(reply: node::upstream::Reply) -> u16 {
    match reply {
        node::upstream::Reply::Done => 200,
        node::upstream::Reply::NotAnnounced => 409,
        node::upstream::Reply::Unknown => 504,
    }
}
