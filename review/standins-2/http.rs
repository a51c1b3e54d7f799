//! The few parts of HTTP/1.1 that the stand-ins need.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::TcpStream,
};

/// Request as a stand-in receives it.
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        query.split('&').filter_map(|it| it.split_once('=')).find(|it| it.0 == name).map(|it| it.1)
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }
}

pub fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|it| it.0.eq_ignore_ascii_case(name)).map(|it| it.1.as_str())
}

/// Reads the lines of a head after its first line.
fn read_headers(reader: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads a request, or returns `None` at the end of the connection.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace();
    let method = words.next().unwrap_or("").to_owned();
    let target = words.next().unwrap_or("").to_owned();
    let headers = read_headers(reader)?;
    let n_bytes = header(&headers, "content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
    let mut body = vec![0; n_bytes];
    reader.read_exact(&mut body)?;
    Ok(Some(Request { method, target, headers, body }))
}

/// Writes a response with a length.
pub fn respond(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, String)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status} -\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Head of a response as a client receives it.
pub struct ResponseHead {
    pub status: u16,
    pub headers: Vec<(String, String)>,
}

pub fn read_response_head(reader: &mut impl BufRead) -> io::Result<ResponseHead> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let status = line.split_whitespace().nth(1).and_then(|it| it.parse().ok());
    let status = status.ok_or(io::ErrorKind::InvalidData)?;
    Ok(ResponseHead { status, headers: read_headers(reader)? })
}

/// Reads one chunk of a body. Returns `None` after the last one.
pub fn read_chunk(reader: &mut impl BufRead) -> io::Result<Option<Vec<u8>>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let n_bytes = usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
    let mut chunk = vec![0; n_bytes];
    reader.read_exact(&mut chunk)?;
    let mut line_end = [0; 2];
    reader.read_exact(&mut line_end)?;
    Ok((n_bytes != 0).then_some(chunk))
}
