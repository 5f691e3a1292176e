//! HTTP/1.1 messages of servers and clients.

use std::io::{BufRead, BufReader, Error, ErrorKind, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// First line and headers of a message. Header names are lower case.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn part(&self, index: usize) -> &str {
        self.line.split(' ').nth(index).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.part(1).parse().unwrap_or(0)
    }
}

/// Reads a head. Returns `None` if the connection ends before it.
pub fn read_head(reader: &mut impl BufRead) -> Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return match head.line.is_empty() {
                true => Ok(None),
                false => Err(ErrorKind::UnexpectedEof.into()),
            };
        }
        let line = line.trim_end();
        if line.is_empty() {
            if !head.line.is_empty() {
                return Ok(Some(head));
            }
        } else if head.line.is_empty() {
            head.line = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':') {
            let value = value.trim().to_owned();
            head.headers.push((name.to_ascii_lowercase(), value));
        }
    }
}

/// Reads the body of a message that has a length or chunks. A response with neither ends with its
/// connection, if `until_close` is set.
pub fn read_body(reader: &mut impl BufRead, head: &Head, until_close: bool) -> Result<Vec<u8>> {
    let mut body = Vec::new();
    let is_chunked = head.header("transfer-encoding") == Some("chunked");
    if is_chunked {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(line.trim(), 16).map_err(Error::other)?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
    match head.header("content-length").map(str::parse) {
        Some(Ok(length)) => {
            body.resize(length, 0);
            reader.read_exact(&mut body)?;
        }
        Some(Err(_)) => return Err(ErrorKind::InvalidData.into()),
        None if until_close => drop(reader.read_to_end(&mut body)?),
        None => {}
    }
    Ok(body)
}

/// Formats a message with a length.
pub fn message(line: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("{line}\r\n");
    for (name, value) in headers {
        out += &format!("{name}: {value}\r\n");
    }
    out += &format!("Content-Length: {}\r\n\r\n", body.len());
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    out
}

/// Sends a message on a new connection and reads the whole response.
pub fn call(
    address: SocketAddr,
    line: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Result<(Head, Vec<u8>)> {
    let mut stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_read_timeout(Some(limit))?;
    let _ = stream.set_nodelay(true);
    stream.write_all(&message(line, headers, body))?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?.ok_or(ErrorKind::UnexpectedEof)?;
    let body = read_body(&mut reader, &head, true)?;
    Ok((head, body))
}
