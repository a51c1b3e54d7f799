//! A small HTTP/1.1 server and client on blocking sockets, for stand-ins.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::{Duration, Instant},
};

pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// Returns a header, whose name is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target.split_once('?')?.1;
        query.split('&').find_map(|it| it.strip_prefix(name)?.strip_prefix('='))
    }
}

fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|it| it.0 == name).map(|it| it.1.as_str())
}

/// Serves an address on a thread for each connection until the process ends. The handler writes the response itself. An
/// error ends the connection.
pub fn serve<F>(address: SocketAddr, handler: F) -> io::Result<SocketAddr>
where
    F: Fn(&Request, &mut TcpStream) -> io::Result<()> + Clone + Send + 'static,
{
    let listener = TcpListener::bind(address)?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Ok(Some(request)) = read_request(&mut reader) {
                    if handler(&request, &mut writer).is_err() {
                        break;
                    }
                }
            });
        }
    });
    Ok(address)
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    Ok(Some(line.trim_end_matches(['\r', '\n']).to_owned()))
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads one chunk. Returns `None` after the last one.
fn read_chunk(reader: &mut impl BufRead) -> io::Result<Option<Vec<u8>>> {
    let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let size = line.split(';').next().unwrap_or_default().trim();
    let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
    if size == 0 {
        read_headers(reader)?;
        return Ok(None);
    }
    let mut chunk = vec![0; size];
    reader.read_exact(&mut chunk)?;
    read_line(reader)?;
    Ok(Some(chunk))
}

fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let Some(line) = read_line(reader)? else { return Ok(None) };
    let mut words = line.split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default().to_owned();
    let headers = read_headers(reader)?;
    let mut body = Vec::new();
    if header(&headers, "transfer-encoding").is_some() {
        while let Some(chunk) = read_chunk(reader)? {
            body.extend(chunk);
        }
    } else if let Some(n) = header(&headers, "content-length").and_then(|it| it.parse().ok()) {
        body = vec![0; n];
        reader.read_exact(&mut body)?;
    }
    Ok(Some(Request { method, target, headers, body }))
}

/// Writes a complete response.
pub fn respond(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, String)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += "\r\n";
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Writes the head of a response in chunks.
pub fn start_chunks(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, String)],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status} Status\r\nTransfer-Encoding: chunked\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    stream.write_all(format!("{text}\r\n").as_bytes())
}

/// Writes a chunk. An empty one is the last.
pub fn write_chunk(stream: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
    let mut text = format!("{:x}\r\n", bytes.len()).into_bytes();
    text.extend_from_slice(bytes);
    text.extend_from_slice(b"\r\n");
    stream.write_all(&text)
}

/// How the response to a client ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Complete,
    /// The connection ended before the end of the response.
    Broken,
    /// Nothing came for the client's longest gap, or its time was over.
    Abandoned,
    /// No connection could be opened.
    NoConnection,
}

/// What a client has received.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status, or 0 without a complete head.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub end: End,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }

    /// Returns the ids of the complete events of a stream.
    pub fn event_ids(&self) -> Vec<u64> {
        let text = String::from_utf8_lossy(&self.body);
        let complete = text.rfind("\n\n").map_or("", |it| &text[..it]);
        complete.lines().filter_map(|it| it.strip_prefix("id: ")?.parse().ok()).collect()
    }
}

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Call {
    pub method: &'static str,
    pub path: String,
    pub headers: Vec<(&'static str, String)>,
    pub body: Vec<u8>,
    /// Time until the client gives up.
    pub deadline: Instant,
    /// Longest time without a byte of the response.
    pub gap: Duration,
    /// When the client leaves, whatever has come.
    pub leave_at: Option<Instant>,
}

/// Sends a request on a new connection and reads the response.
pub fn call(address: SocketAddr, call: &Call) -> Answer {
    let mut answer =
        Answer { status: 0, headers: Vec::new(), body: Vec::new(), end: End::NoConnection };
    let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return answer;
    };
    answer.end = End::Broken;
    if let Err(err) = exchange(stream, call, &mut answer) {
        let is_timeout = matches!(err.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut);
        answer.end = if is_timeout { End::Abandoned } else { End::Broken };
    }
    answer
}

fn exchange(stream: TcpStream, call: &Call, answer: &mut Answer) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut text = format!("{} {} HTTP/1.1\r\n", call.method, call.path);
    for (name, value) in &call.headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n", call.body.len());
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(&call.body);
    (&stream).write_all(&bytes)?;
    let mut reader = BufReader::new(Timed { stream, call });
    let line = read_line(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let status = line.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0);
    answer.headers = read_headers(&mut reader)?;
    answer.status = status;
    if answer.header("transfer-encoding").is_some() {
        while let Some(chunk) = read_chunk(&mut reader)? {
            answer.body.extend(chunk);
        }
    } else if let Some(n) = answer.header("content-length").and_then(|it| it.parse().ok()) {
        let mut body = vec![0; n];
        reader.read_exact(&mut body)?;
        answer.body = body;
    }
    answer.end = End::Complete;
    Ok(())
}

/// A connection whose reads fail when the client gives up.
struct Timed<'a> {
    stream: TcpStream,
    call: &'a Call,
}

impl Read for Timed<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let now = Instant::now();
        let until = self.call.deadline.min(self.call.leave_at.unwrap_or(self.call.deadline));
        let left = until.saturating_duration_since(now).min(self.call.gap);
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        self.stream.read(buffer)
    }
}
