//! The HTTP interface for operators.

use super::*;

/// Maximum size of a request body, in bytes; a configuration is the largest.
const MAX_BODY_BYTES: usize = model::MAX_REQUEST_BYTES;

pub(crate) fn start(
    address: SocketAddr,
    tokens: Tokens,
    events: Sender<Event>,
    metrics_source: MetricsSource,
) -> eyre::Result<PendingReplies<node::operator::Reply>> {
    let replies = PendingReplies::default();
    let server = Server { replies: replies.clone(), tokens, events, metrics_source };
    http::serve(address, Limits::OPERATORS, move |request| server.handle(request))?;
    Ok(replies)
}

#[derive(Clone)]
struct Server {
    replies: PendingReplies<node::operator::Reply>,
    tokens: Tokens,
    events: Sender<Event>,
    metrics_source: MetricsSource,
}

/// Refusal of a configuration, with its findings.
#[derive(Serialize)]
struct Refusal {
    error: String,
    findings: settings::Findings,
}

/// Body of `/v1/waves`: starts or changes a maintenance wave.
///
/// Error answers to malformed bodies contain the names of this and the other types of bodies.
#[derive(serde::Deserialize)]
struct Maintenance {
    wave: Name,
    #[serde(flatten)]
    action: Action,
}

#[derive(serde::Deserialize)]
#[serde(rename_all = "kebab-case", tag = "action")]
enum Action {
    Start { selector: String },
    Pause,
    Resume,
    Cancel,
}

/// Body of `/v1/forget`: an instance that will not come back.
#[derive(serde::Deserialize)]
struct Lost {
    instance: Name,
}

impl Maintenance {
    fn edit(&self) -> Result<fleet::Edit, model::Error> {
        Ok(match &self.action {
            Action::Start { selector } => fleet::Edit::Start(selector.parse()?),
            Action::Pause => fleet::Edit::Pause,
            Action::Resume => fleet::Edit::Resume,
            Action::Cancel => fleet::Edit::Cancel,
        })
    }
}

/// Body of `/v1/jobs`: a job to submit.
#[derive(serde::Deserialize)]
struct Submission {
    id: Name,
    job: model::Job,
}

impl Server {
    fn handle(&self, request: tiny_http::Request) {
        let path = request.url().to_owned();
        let operator = self.tokens.operator(&request);
        if self.tokens.required() && operator.is_none() {
            return http::respond(request, 401, &http::failure("a valid token is needed"));
        }
        match (request.method(), path.as_str()) {
            (tiny_http::Method::Get, "/v1/config") => {
                self.dispatch(request, node::operator::Call::Config);
            }
            (tiny_http::Method::Get, "/v1/status") => {
                self.dispatch(request, node::operator::Call::Status);
            }
            (tiny_http::Method::Get, "/metrics") => self.metrics(request),
            (tiny_http::Method::Get, "/v1/waves") => {
                self.dispatch(request, node::operator::Call::Waves)
            }
            (tiny_http::Method::Get, "/v1/history") => {
                self.dispatch(request, node::operator::Call::History);
            }
            (tiny_http::Method::Get, path) => self.look_up(request, path),
            (tiny_http::Method::Post, "/v1/changes") => self.apply(request, operator),
            (tiny_http::Method::Post, "/v1/waves") => self.maintain(request, operator),
            (tiny_http::Method::Post, "/v1/forget") => self.forget(request, operator),
            (tiny_http::Method::Post, "/v1/members") => self.change_member(request),
            (tiny_http::Method::Post, "/v1/jobs") => self.submit(request),
            (tiny_http::Method::Delete, path) => match path.strip_prefix("/v1/jobs/") {
                Some(id) => self.dispatch(request, node::operator::Call::CancelJob(id.into())),
                None => not_found(request, path),
            },
            _ => not_found(request, &path),
        }
    }

    /// Handles `GET` calls whose path contains an argument.
    fn look_up(&self, request: tiny_http::Request, path: &str) {
        if let Some(revision) = path.strip_prefix("/v1/config/").and_then(|r| r.parse().ok()) {
            return self.dispatch(request, node::operator::Call::Past(revision));
        }
        if let Some(id) = path.strip_prefix("/v1/jobs/") {
            return self.dispatch(request, node::operator::Call::Job(id.into()));
        }
        match path.strip_prefix("/v1/explain?").and_then(parse_subject) {
            Some(subject) => self.dispatch(request, node::operator::Call::Explain(subject)),
            None => not_found(request, path),
        }
    }

    fn maintain(&self, mut request: tiny_http::Request, operator: Option<Name>) {
        let Some((id, author)) = id_and_author(&request, operator) else {
            return missing_id_or_author(request);
        };
        let maintenance = match http::json::<Maintenance>(&mut request, MAX_BODY_BYTES) {
            Ok(maintenance) => maintenance,
            Err(failure) => return http::respond(request, failure.status, &failure),
        };
        match maintenance.edit() {
            Ok(edit) => {
                let order = fleet::Order { request: id, author, wave: maintenance.wave, edit };
                self.dispatch(request, node::operator::Call::Maintain(order));
            }
            Err(error) => http::respond(request, 422, &http::failure(error.to_string())),
        }
    }

    fn submit(&self, mut request: tiny_http::Request) {
        match http::json::<Submission>(&mut request, MAX_BODY_BYTES) {
            Ok(Submission { id, job }) => {
                self.dispatch(request, node::operator::Call::Submit { id, job: Box::new(job) });
            }
            Err(failure) => http::respond(request, failure.status, &failure),
        }
    }

    fn forget(&self, mut request: tiny_http::Request, operator: Option<Name>) {
        let Some((id, author)) = id_and_author(&request, operator) else {
            return missing_id_or_author(request);
        };
        match http::json::<Lost>(&mut request, MAX_BODY_BYTES) {
            Ok(Lost { instance }) => {
                let call = node::operator::Call::Forget { request: id, author, instance };
                self.dispatch(request, call);
            }
            Err(failure) => http::respond(request, failure.status, &failure),
        }
    }

    fn metrics(&self, request: tiny_http::Request) {
        let call = node::operator::Call::Status;
        let reply = self.replies.call(&self.events, |ticket| Event::Operator { ticket, call });
        let Some(node::operator::Reply::Status(status)) = reply else {
            return http::respond(request, 504, &http::failure("daemon gave no status in time"));
        };
        let response = tiny_http::Response::from_data(self.metrics_source.text(&status))
            .with_header(header::make("Content-Type", metrics_source::CONTENT_TYPE));
        http::send(request, response);
    }

    fn apply(&self, mut request: tiny_http::Request, operator: Option<Name>) {
        let body = match http::body(&mut request, MAX_BODY_BYTES) {
            Ok(body) => body,
            Err(failure) => return http::respond(request, failure.status, &failure),
        };
        let base = header::get(&request, "Base-Revision").and_then(|base| base.parse().ok());
        let (Some((id, author)), Some(base)) = (id_and_author(&request, operator), base) else {
            let failure = http::failure("`Request-Id`, `Author` and `Base-Revision` are needed");
            return http::respond(request, 400, &failure);
        };
        match settings::config("configuration", &String::from_utf8_lossy(&body)) {
            Ok(config) => {
                let change = fleet::Change { request: id, author, base, config };
                self.dispatch(request, node::operator::Call::Apply(Box::new(change)));
            }
            Err(findings) => {
                let error = "configuration is not valid".into();
                http::respond(request, 422, &Refusal { error, findings });
            }
        }
    }

    fn change_member(&self, mut request: tiny_http::Request) {
        match http::json(&mut request, MAX_BODY_BYTES) {
            Ok(change) => self.dispatch(request, node::operator::Call::Member(change)),
            Err(failure) => http::respond(request, failure.status, &failure),
        }
    }

    /// Passes `call` to the state machine, and responds with its reply.
    fn dispatch(&self, request: tiny_http::Request, call: node::operator::Call) {
        let reply = self.replies.call(&self.events, |ticket| Event::Operator { ticket, call });
        let reply = reply.unwrap_or(node::operator::Reply::Unknown);
        http::respond(request, status_code(&reply), &reply);
    }
}

fn status_code(reply: &node::operator::Reply) -> u16 {
    match reply {
        node::operator::Reply::Applied { verdict, .. } if verdict.refused() => 409,
        node::operator::Reply::NoRevision { .. } => 404,
        node::operator::Reply::Unchanged { .. } => 409,
        node::operator::Reply::Unknown => 504,
        _ => 200,
    }
}

/// Id and author of a request that makes a change; the operator identified by a token takes
/// precedence over the `Author` header.
fn id_and_author(request: &tiny_http::Request, operator: Option<Name>) -> Option<(Name, Name)> {
    let id = header::get(request, "Request-Id")?;
    let author = operator.or_else(|| header::get(request, "Author").map(Into::into))?;
    Some((id.into(), author))
}

fn missing_id_or_author(request: tiny_http::Request) {
    let failure = http::failure("`Request-Id` and `Author` are needed");
    http::respond(request, 400, &failure);
}

fn not_found(request: tiny_http::Request, path: &str) {
    http::respond(request, 404, &http::failure(format!("no such call `{path}`")));
}

/// Parses the query of `/v1/explain`.
fn parse_subject(query: &str) -> Option<fleet::Subject> {
    if query == "config" {
        return Some(fleet::Subject::Config);
    }
    let (kind, name) = query.split_once('=')?;
    match kind {
        "instance" => Some(fleet::Subject::Instance(name.into())),
        "pool" => Some(fleet::Subject::Pool(name.into())),
        "wave" => Some(fleet::Subject::Wave(name.into())),
        _ => None,
    }
}
