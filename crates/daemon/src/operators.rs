//! The operators' HTTP interface.

use super::*;

/// Largest configuration, in bytes.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

pub(crate) fn start(
    address: SocketAddr,
    tokens: Tokens,
    events: Sender<Event>,
    scrape: Scrape,
) -> eyre::Result<Tickets<node::operator::Reply>> {
    let tickets = Tickets::default();
    let edge = Edge { tickets: tickets.clone(), tokens, events, scrape };
    http::serve(address, Limits::OPERATORS, move |request| edge.handle(request))?;
    Ok(tickets)
}

#[derive(Clone)]
struct Edge {
    tickets: Tickets<node::operator::Reply>,
    tokens: Tokens,
    events: Sender<Event>,
    scrape: Scrape,
}

/// Findings in a configuration.
#[derive(Serialize)]
struct Refusal {
    error: String,
    findings: settings::Findings,
}

impl Edge {
    fn handle(&self, request: tiny_http::Request) {
        let path = request.url().to_owned();
        let operator = self.tokens.operator(&request);
        if self.tokens.required() && operator.is_none() {
            return http::respond(request, 401, &http::failure("a valid token is needed"));
        }
        match (request.method(), path.as_str()) {
            (tiny_http::Method::Get, "/v1/config") => {
                self.ask(request, node::operator::Call::Config);
            }
            (tiny_http::Method::Get, "/v1/status") => {
                self.ask(request, node::operator::Call::Status);
            }
            (tiny_http::Method::Get, "/metrics") => self.metrics(request),
            (tiny_http::Method::Post, "/v1/changes") => self.apply(request, operator),
            _ => http::respond(request, 404, &http::failure(format!("no such call `{path}`"))),
        }
    }

    fn metrics(&self, request: tiny_http::Request) {
        let call = node::operator::Call::Status;
        let reply = self.tickets.ask(&self.events, |ticket| Event::Operator { ticket, call });
        let Some(node::operator::Reply::Status(status)) = reply else {
            return http::respond(request, 504, &http::failure("daemon gave no status in time"));
        };
        let response = tiny_http::Response::from_data(self.scrape.text(&status))
            .with_header(header::make("Content-Type", scrape::CONTENT_TYPE));
        http::send(request, response);
    }

    fn apply(&self, mut request: tiny_http::Request, operator: Option<Name>) {
        let body = match http::body(&mut request, MAX_BODY_BYTES) {
            Ok(body) => body,
            Err(failure) => return http::respond(request, failure.status, &failure),
        };
        let (id, author) = (header::get(&request, "Request-Id"), header::get(&request, "Author"));
        let base = header::get(&request, "Base-Revision").and_then(|base| base.parse().ok());
        let (Some(id), Some(author), Some(base)) = (id, author, base) else {
            let failure = http::failure("`Request-Id`, `Author` and `Base-Revision` are needed");
            return http::respond(request, 400, &failure);
        };
        let (id, author) = (Name::from(id), operator.unwrap_or_else(|| author.into()));
        match settings::config("configuration", &String::from_utf8_lossy(&body)) {
            Ok(config) => {
                let change = fleet::Change { request: id, author, base, config };
                self.ask(request, node::operator::Call::Apply(change));
            }
            Err(findings) => {
                let error = "configuration is not valid".into();
                http::respond(request, 422, &Refusal { error, findings });
            }
        }
    }

    fn ask(&self, request: tiny_http::Request, call: node::operator::Call) {
        let reply = self.tickets.ask(&self.events, |ticket| Event::Operator { ticket, call });
        let reply = reply.unwrap_or(node::operator::Reply::Unknown);
        http::respond(request, status(&reply), &reply);
    }
}

fn status(reply: &node::operator::Reply) -> u16 {
    match reply {
        node::operator::Reply::Applied { verdict: fleet::Verdict::Conflict { .. }, .. } => 409,
        node::operator::Reply::Unknown => 504,
        _ => 200,
    }
}
