//! The upstreams' HTTP interface.

use super::*;

/// Largest announcement, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;

pub(crate) fn start(
    address: SocketAddr,
    events: Sender<Event>,
) -> eyre::Result<Tickets<node::upstream::Reply>> {
    let tickets = Tickets::default();
    let edge = Edge { tickets: tickets.clone(), events };
    http::serve(address, Limits::UPSTREAMS, move |request| edge.handle(request))?;
    Ok(tickets)
}

#[derive(Clone)]
struct Edge {
    tickets: Tickets<node::upstream::Reply>,
    events: Sender<Event>,
}

/// An instance at one of its starts.
#[derive(serde::Deserialize)]
struct Start {
    instance: Name,
    incarnation: u64,
}

impl Edge {
    fn handle(&self, mut request: tiny_http::Request) {
        match call(&mut request) {
            Ok(call) => self.ask(request, call),
            Err(failure) => http::respond(request, failure.status, &failure),
        }
    }

    fn ask(&self, request: tiny_http::Request, call: node::upstream::Call) {
        let reply = self.tickets.ask(&self.events, |ticket| Event::Upstream { ticket, call });
        let reply = reply.unwrap_or(node::upstream::Reply::Unknown);
        http::respond(request, status(reply), &reply);
    }
}

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

fn status(reply: node::upstream::Reply) -> u16 {
    match reply {
        node::upstream::Reply::Done => 200,
        node::upstream::Reply::NotAnnounced => 409,
        node::upstream::Reply::Unknown => 504,
    }
}
