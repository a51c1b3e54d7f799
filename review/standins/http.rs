//! HTTP/1.1 as far as the stand-ins need it: blocking reads of requests and responses on plain sockets.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// Headers in the order of their arrival, with names in lower case.
#[derive(Clone, Debug, Default)]
pub struct Headers(pub Vec<(String, String)>);

impl Headers {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0.iter().find(|it| it.0 == name).map(|it| it.1.as_str())
    }
}

/// A request that was read completely.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    /// Path and query.
    pub target: String,
    pub headers: Headers,
    pub body: Vec<u8>,
}

impl Request {
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        query.split('&').find_map(|it| it.strip_prefix(name)?.strip_prefix('='))
    }

    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).unwrap_or_default()
    }
}

/// Head of a response.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    pub status: u16,
    pub headers: Headers,
}

impl ResponseHead {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).unwrap_or_default()
    }
}

fn broken(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text)
}

/// Reads a line without its end. Returns `None` at the end of the connection.
fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    if !line.ends_with('\n') {
        return Err(broken("line without an end"));
    }
    Ok(Some(line.trim_end().to_owned()))
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Headers> {
    let mut headers = Headers::default();
    loop {
        let line = read_line(reader)?.ok_or_else(|| broken("head without an end"))?;
        if line.is_empty() {
            return Ok(headers);
        }
        let (name, value) = line.split_once(':').ok_or_else(|| broken("no header"))?;
        headers.0.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

/// Reads one chunk of a chunked body. Returns an empty chunk at the end of the body.
pub fn read_chunk(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let line = read_line(reader)?.ok_or_else(|| broken("no chunk"))?;
    let size = line.split(';').next().unwrap_or_default().trim();
    let n_bytes = usize::from_str_radix(size, 16).map_err(|_| broken("no chunk size"))?;
    let mut chunk = vec![0; n_bytes];
    reader.read_exact(&mut chunk)?;
    let mut line_end = [0; 2];
    reader.read_exact(&mut line_end)?;
    Ok(chunk)
}

fn read_body(reader: &mut impl BufRead, headers: &Headers) -> io::Result<Vec<u8>> {
    if headers.get("transfer-encoding").is_some_and(|it| it.eq_ignore_ascii_case("chunked")) {
        let mut body = Vec::new();
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                return Ok(body);
            }
            body.extend(chunk);
        }
    }
    let length = headers.get("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// Reads a request. Returns `None` if the connection ends before its first byte.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some(line) = read_line(reader)? else { return Ok(None) };
    let mut words = line.split(' ');
    let (Some(method), Some(target)) = (words.next(), words.next()) else {
        return Err(broken("no request line"));
    };
    let (method, target) = (method.to_owned(), target.to_owned());
    let headers = read_headers(reader)?;
    let body = read_body(reader, &headers)?;
    Ok(Some(Request { method, target, headers, body }))
}

/// Reads the head of a response. Returns `None` if the connection ends before its first byte.
pub fn read_response_head(reader: &mut impl BufRead) -> io::Result<Option<ResponseHead>> {
    let Some(line) = read_line(reader)? else { return Ok(None) };
    let status = line.split(' ').nth(1).and_then(|it| it.parse().ok());
    let status = status.ok_or_else(|| broken("no status line"))?;
    Ok(Some(ResponseHead { status, headers: read_headers(reader)? }))
}

/// Reads the rest of a response whose head was read.
pub fn read_response_body(reader: &mut impl BufRead, head: &ResponseHead) -> io::Result<Vec<u8>> {
    read_body(reader, &head.headers)
}

/// Returns a complete response with a length.
pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status} Stated\r\n").into_bytes();
    for (name, value) in headers {
        bytes.extend(format!("{name}: {value}\r\n").into_bytes());
    }
    bytes.extend(format!("Content-Length: {}\r\n\r\n", body.len()).into_bytes());
    bytes.extend(body);
    bytes
}

/// Returns a request, with a length if it has a body.
pub fn request(method: &str, target: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("{method} {target} HTTP/1.1\r\n").into_bytes();
    for (name, value) in headers {
        bytes.extend(format!("{name}: {value}\r\n").into_bytes());
    }
    if method != "GET" {
        bytes.extend(format!("Content-Length: {}\r\n", body.len()).into_bytes());
    }
    bytes.extend(b"\r\n");
    bytes.extend(body);
    bytes
}

/// A connection of a server, after a request was read on it.
pub struct Peer {
    reader: BufReader<TcpStream>,
    pub stream: TcpStream,
    /// Second copy of an answer, which is sent late: when the next request has arrived.
    pub late_copy: Option<Vec<u8>>,
}

/// Serves connections in a thread each. The handler gets each request, responds, and returns whether the connection stays
/// open.
pub fn serve<F>(listener: TcpListener, handler: F)
where
    F: Fn(&mut Peer, Request) -> io::Result<bool> + Send + Sync + 'static,
{
    let handler = Arc::new(handler);
    thread::spawn(move || {
        while let Ok((stream, _)) = listener.accept() {
            let handler = handler.clone();
            thread::spawn(move || {
                // The other side may close or reset the connection at any time.
                let _ = serve_connection(stream, &*handler);
            });
        }
    });
}

pub fn serve_connection<F>(stream: TcpStream, handler: &F) -> io::Result<()>
where
    F: Fn(&mut Peer, Request) -> io::Result<bool>,
{
    stream.set_nodelay(true)?;
    let mut peer = Peer { reader: BufReader::new(stream.try_clone()?), stream, late_copy: None };
    while let Some(request) = read_request(&mut peer.reader)? {
        if !handler(&mut peer, request)? {
            break;
        }
    }
    Ok(())
}

/// A client's connection.
pub struct Client {
    pub reader: BufReader<TcpStream>,
    pub stream: TcpStream,
}

impl Client {
    pub fn connect(address: SocketAddr, read_timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(read_timeout))?;
        Ok(Self { reader: BufReader::new(stream.try_clone()?), stream })
    }

    /// Sends a request and reads the head of its response.
    pub fn send(&mut self, request: &[u8]) -> io::Result<ResponseHead> {
        self.stream.write_all(request)?;
        let head = read_response_head(&mut self.reader)?;
        head.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }

    /// Sends a request and reads its complete response.
    pub fn call(&mut self, request: &[u8]) -> io::Result<(ResponseHead, Vec<u8>)> {
        let head = self.send(request)?;
        let body = read_response_body(&mut self.reader, &head)?;
        Ok((head, body))
    }
}
