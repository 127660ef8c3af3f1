//! Slow, misbehaving or too many clients of a daemon do not delay the others.

#![allow(clippy::unwrap_used)]

use {
    bench::{Daemon, Fleet, wait_until},
    std::{
        io::{ErrorKind, Read, Write},
        net::{Shutdown, TcpStream},
        time::Duration,
    },
};

const CONFIG: &str = "[service quotes]\n[kind quote]\nidempotent = true\ndeadline-ms = 20000\n";

/// Limit of connections at the callers' address.
const MAX_CONNECTIONS: usize = 512;

/// Limit of connections at the operators' address.
const MAX_OPERATORS: usize = 64;

/// Longest wait for an answer, far above all time-outs of the daemon.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

/// Longest wait for an answer, below the 10 s after which the daemon closes an idle connection: a
/// connection queued behind idle ones would be served only then.
const READ_TIMEOUT: Duration = Duration::from_secs(9);

fn fleet() -> Fleet {
    let mut fleet = Fleet::new(1, 1).unwrap();
    fleet.start().unwrap();
    fleet.apply(CONFIG).unwrap();
    fleet.add_upstreams("quotes", 1, &[]).unwrap();
    fleet
}

fn connect(address: &str) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(ANSWER_TIMEOUT)).unwrap();
    stream
}

/// Sends `text` on a new connection, and reads the answer until the connection is closed.
fn exchange(address: &str, text: &str) -> String {
    let mut stream = connect(address);
    stream.write_all(text.as_bytes()).unwrap();
    stream.shutdown(Shutdown::Write).unwrap();
    read(stream)
}

/// Reads until the connection is closed or reset.
fn read(mut stream: TcpStream) -> String {
    let mut answer = Vec::new();
    match stream.read_to_end(&mut answer) {
        Err(error) if error.kind() != ErrorKind::ConnectionReset => panic!("{error}"),
        _ => String::from_utf8(answer).unwrap(),
    }
}

/// Status and outcome of an answer; 0 and `None` if it has none.
fn head(answer: &str) -> (u16, Option<&str>) {
    let status = answer.split(' ').nth(1).unwrap_or_default().parse().unwrap_or_default();
    let outcome = answer.lines().find_map(|line| line.strip_prefix("Sardinevalve-Outcome: "));
    (status, outcome)
}

fn assert_answers(daemon: &Daemon) {
    let response = daemon.call("quotes", "quote", "one card").unwrap();
    assert_eq!(response.headers()["Sardinevalve-Outcome"], "run");
}

const HEAD: &str = "POST /call/quotes/ HTTP/1.1\r\nHost: a\r\nSardinevalve-Kind: quote\r\n";

#[test]
fn slow_clients_delay_no_others_and_are_disconnected() {
    let fleet = fleet();
    let daemon = &fleet.daemons[0];
    let slow: Vec<_> = (0..60)
        .map(|i| {
            let mut stream = connect(&daemon.callers);
            let body = format!("{HEAD}Content-Length: 9000\r\n\r\nfirst bytes");
            let text = if i % 2 == 0 { "POST /call/quo" } else { &body };
            stream.write_all(text.as_bytes()).unwrap();
            stream
        })
        .collect();
    for _ in 0..20 {
        assert_answers(daemon);
    }
    for (i, stream) in slow.into_iter().enumerate() {
        let answer = read(stream);
        let expected = if i % 2 == 0 { (0, None) } else { (408, Some("not-run")) };
        assert_eq!(head(&answer), expected, "{answer}");
    }
}

#[test]
fn body_sent_a_byte_at_a_time_is_refused() {
    let fleet = fleet();
    let daemon = &fleet.daemons[0];
    let mut stream = connect(&daemon.callers);
    stream.write_all(format!("{HEAD}Content-Length: 9000\r\n\r\n").as_bytes()).unwrap();
    let mut answer = [0; 12];
    stream.set_read_timeout(Some(Duration::from_millis(100))).unwrap();
    wait_until("the slow body is refused", || {
        stream.write_all(b"x").unwrap();
        stream.read(&mut answer).is_ok_and(|bytes| bytes > 0)
    })
    .unwrap();
    assert_eq!(String::from_utf8_lossy(&answer), "HTTP/1.1 408");
    assert_answers(daemon);
}

#[test]
fn clients_that_never_read_or_stop_sending_delay_no_others() {
    let fleet = fleet();
    let daemon = &fleet.daemons[0];
    let body = "x".repeat(900_000);
    let silent: Vec<_> = (0..30)
        .map(|i| {
            let mut stream = connect(&daemon.callers);
            let length = body.len();
            stream.write_all(format!("{HEAD}Content-Length: {length}\r\n\r\n").as_bytes()).unwrap();
            let sent = if i % 3 == 0 { length / 2 } else { length };
            stream.write_all(&body.as_bytes()[..sent]).unwrap();
            (i % 3 == 1).then_some(stream)
        })
        .collect();
    for _ in 0..20 {
        assert_answers(daemon);
    }
    drop(silent);
}

#[test]
fn connections_beyond_the_limit_are_refused_until_there_is_room() {
    let fleet = fleet();
    let daemon = &fleet.daemons[0];
    let mut open: Vec<_> = (0..MAX_CONNECTIONS).map(|_| connect(&daemon.callers)).collect();
    let request = format!("{HEAD}Content-Length: 0\r\nConnection: close\r\n\r\n");
    let mut answer = String::new();
    wait_until("a connection is refused", || {
        answer = exchange(&daemon.callers, &request);
        head(&answer) == (503, Some("not-run"))
    })
    .unwrap();
    assert!(answer.ends_with("{\"error\":\"too many connections are open\"}"), "{answer}");
    assert!(daemon.status().is_ok(), "the operators' address has a limit of its own");
    open.clear();
    wait_until("there is room", || {
        head(&exchange(&daemon.callers, &request)) == (200, Some("run"))
    })
    .unwrap();
    assert_answers(daemon);
}

#[test]
fn connection_limit_can_be_reached_repeatedly() {
    let fleet = fleet();
    let daemon = &fleet.daemons[0];
    for _ in 0..3 {
        let mut open = Vec::new();
        let request = "GET /v1/status HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
        wait_until("a connection is refused", || {
            open.extend((0..MAX_OPERATORS).map(|_| connect(&daemon.operators)));
            head(&exchange(&daemon.operators, request)).0 == 503
        })
        .unwrap();
        assert_answers(daemon);
        drop(open);
        wait_until("there is room", || head(&exchange(&daemon.operators, request)).0 == 200)
            .unwrap();
    }
}

#[test]
fn invalid_requests_are_refused_as_not_run() {
    let fleet = fleet();
    let callers = &fleet.daemons[0].callers;
    let end = "Content-Length: 0\r\nConnection: close\r\n\r\n";
    let with = |line: &str, headers: &str| {
        exchange(callers, &format!("{line} HTTP/1.1\r\nHost: a\r\n{headers}{end}"))
    };
    let kind = "Sardinevalve-Kind: quote\r\n";
    let many: String = (0..70).map(|i| format!("Header-{i}: 1\r\n")).collect();
    let large = format!("Large: {}\r\n", "x".repeat(17_000));
    let cases = [
        (405, with("TRACE /call/quotes/", kind)),
        (405, with("BREW /call/quotes/", kind)),
        (400, with("POST /call/quotes/<script>", kind)),
        (400, with("POST /call/quotes/#fragment", kind)),
        (414, with(&format!("POST /call/quotes/{}", "x".repeat(17_000)), kind)),
        (404, with("POST /other", kind)),
        (400, with("POST /call/quotes/", "")),
        (400, with("POST /call/quotes/", &format!("{kind}Sardinevalve-Deadline-Ms: soon\r\n"))),
        (431, with("POST /call/quotes/", &format!("{kind}{many}"))),
        (431, with("POST /call/quotes/", &format!("{kind}{large}"))),
        (413, exchange(callers, &format!("{HEAD}Content-Length: 2000000\r\n\r\n"))),
        (503, with("POST /call/unknown/", kind)),
        (503, with("POST /call/quotes/", "Sardinevalve-Kind: unknown\r\n")),
    ];
    for (status, answer) in cases {
        assert_eq!(head(&answer), (status, Some("not-run")), "{answer}");
    }
}

#[test]
fn malformed_http_is_refused_without_an_outcome() {
    let fleet = fleet();
    let callers = &fleet.daemons[0].callers;
    for text in
        ["garbage\r\n\r\n", "POST / HTTP/9.9\r\n\r\n", "POST / HTTP/1.1\r\nno colon\r\n\r\n"]
    {
        let answer = exchange(callers, text);
        assert_eq!(head(&answer), (400, None), "{answer}");
    }
    assert_answers(&fleet.daemons[0]);
}

#[test]
fn body_in_chunks_over_the_limit_is_refused() {
    let fleet = fleet();
    let mut stream = connect(&fleet.daemons[0].callers);
    stream.write_all(format!("{HEAD}Transfer-Encoding: chunked\r\n\r\n").as_bytes()).unwrap();
    let chunk = format!("8000\r\n{}\r\n", "x".repeat(0x8000));
    for _ in 0..40 {
        stream.write_all(chunk.as_bytes()).unwrap();
    }
    stream.write_all(b"0\r\n\r\n").unwrap();
    stream.shutdown(Shutdown::Write).unwrap();
    let answer = read(stream);
    assert_eq!(head(&answer), (413, Some("not-run")), "{answer}");
}

#[test]
fn methods_queries_and_headers_are_passed_on() {
    let fleet = fleet();
    let callers = &fleet.daemons[0].callers;
    let own = "Sardinevalve-Kind: quote\r\nCaller-Request: 7\r\nConnection: close, Secret\r\n\
               Secret: x\r\n\r\n";
    let answer =
        exchange(callers, &format!("GET /call/quotes/a/b?c=d&e=%20 HTTP/1.1\r\nHost: a\r\n{own}"));
    assert_eq!(head(&answer), (200, Some("run")), "{answer}");
    assert!(answer.contains(r#""method":"GET""#), "{answer}");
    assert!(answer.contains(r#""path":"/a/b?c=d&e=%20""#), "{answer}");
    let answer = exchange(callers, &format!("HEAD /call/quotes HTTP/1.1\r\nHost: a\r\n{own}"));
    assert_eq!(head(&answer), (200, Some("run")), "{answer}");
    assert!(answer.ends_with("\r\n\r\n"), "an answer to HEAD has no body: {answer}");
}

#[test]
fn burst_of_idle_connections_delays_no_others() {
    let fleet = fleet();
    let daemon = &fleet.daemons[0];
    let request = format!("{HEAD}Content-Length: 0\r\n\r\n");
    for _ in 0..5 {
        let mut open: Vec<_> = (0..60).map(|_| connect(&daemon.callers)).collect();
        for stream in &mut open {
            stream.write_all(request.as_bytes()).unwrap();
        }
        for stream in &mut open {
            let mut answer = [0; 12];
            stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
            stream.read_exact(&mut answer).expect("another connection is served first");
            assert_eq!(String::from_utf8_lossy(&answer), "HTTP/1.1 200");
        }
    }
}
