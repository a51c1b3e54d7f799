//! Stand-in of a requester that reads a stream.

use std::{
    io::{BufReader, Write as _},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

use crate::{
    http::{header, read_chunk, read_response_head},
    record::Record,
};

pub const HOST: &str = "service.example";
pub const KEY: &str = "k9n73hh2b9wu3fexd9dn";

/// One attempt of a requester.
pub struct Attempt<'a> {
    pub id: &'a str,
    pub path: &'a str,
    /// Parts of the prompt.
    pub parts: &'a str,
    pub n_events: u64,
    pub remaining: Duration,
    /// Attempt that brought the first event, and the id of the last event.
    pub resumes: Option<(&'a str, u64)>,
}

/// End of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    NoConnection,
    /// The connection ended before the answer.
    NoAnswer,
    /// An answer that is no stream, and the time after which the requester may return.
    Status(u16, Option<Duration>),
    /// The stream ended as complete.
    Complete,
    /// The stream was broken off.
    Cut,
}

/// Event of a stream: its id and its data.
pub type Event = (u64, String);

/// Sends a request on a new channel and reads its answer. `on_event` is called for each event.
pub fn send(
    machine: SocketAddr,
    attempt: &Attempt<'_>,
    record: &Record,
    mut on_event: impl FnMut(Event),
) -> End {
    let Attempt { id, resumes, .. } = *attempt;
    let shown =
        resumes.map_or(String::new(), |(of, after)| format!(", resumes {of} after {after}"));
    record.line(&format!("request {id} is sent to {machine}{shown}"));
    let end = send_and_read(machine, attempt, &mut on_event);
    record.line(&format!("request {id} ends: {end:?}"));
    end
}

fn send_and_read(
    machine: SocketAddr,
    attempt: &Attempt<'_>,
    on_event: &mut impl FnMut(Event),
) -> End {
    let Attempt { id, path, parts, n_events, remaining, resumes } = *attempt;
    let Ok(mut stream) = TcpStream::connect_timeout(&machine, Duration::from_secs(1)) else {
        return End::NoConnection;
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(remaining.max(Duration::from_millis(100))));
    let body = format!("{{\"prompt\":\"{id}\"}}");
    let mut text = format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Model: m\r\n\
         X-Token-Usage: 450,{n_events}\r\nX-Prompt-Prefix: {parts}\r\nX-Deadline-Ms: {}\r\n\
         Authorization: Bearer {KEY}\r\nContent-Length: {}\r\n",
        remaining.as_millis(),
        body.len()
    );
    if let Some((of, after)) = resumes {
        text.push_str(&format!("Resumes: {of}\r\nLast-Event-Id: {after}\r\n"));
    }
    text.push_str("\r\n");
    text.push_str(&body);
    if stream.write_all(text.as_bytes()).is_err() {
        return End::NoAnswer;
    }
    let until = Instant::now() + remaining;
    let mut reader = BufReader::new(stream);
    let Ok(head) = read_response_head(&mut reader) else { return End::NoAnswer };
    if head.status != 200 {
        let wait = header(&head.headers, "retry-after").and_then(|it| it.parse::<f64>().ok());
        return End::Status(head.status, wait.map(Duration::from_secs_f64));
    }
    let mut rest = String::new();
    while Instant::now() < until {
        match read_chunk(&mut reader) {
            Ok(Some(chunk)) => {
                rest.push_str(&String::from_utf8_lossy(&chunk));
                while let Some((event, after)) = rest.split_once("\n\n") {
                    if let Some(it) = parse_event(event) {
                        on_event(it);
                    }
                    rest = after.to_owned();
                }
            }
            Ok(None) => return End::Complete,
            Err(_) => return End::Cut,
        }
    }
    End::Cut
}

fn parse_event(text: &str) -> Option<Event> {
    let field = |name: &str| text.lines().find_map(|it| it.strip_prefix(name)).map(str::trim);
    Some((field("id:")?.parse().ok()?, field("data:")?.to_owned()))
}

/// Sends a request that reads something on a new channel, and returns the status of its answer.
pub fn look_up(
    machine: SocketAddr,
    id: &str,
    path: &str,
    time_limit: Duration,
    record: &Record,
) -> Option<u16> {
    record.line(&format!("request {id} is sent to {machine}: GET {path}"));
    let read = || {
        let mut stream = TcpStream::connect_timeout(&machine, Duration::from_secs(1)).ok()?;
        stream.set_read_timeout(Some(time_limit)).ok()?;
        let text = format!(
            "GET {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {}\r\n\
             Authorization: Bearer {KEY}\r\nConnection: close\r\n\r\n",
            time_limit.as_millis()
        );
        stream.write_all(text.as_bytes()).ok()?;
        Some(read_response_head(&mut BufReader::new(stream)).ok()?.status)
    };
    let status = read();
    record.line(&format!("request {id} ends: {status:?}"));
    status
}
