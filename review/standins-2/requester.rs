//! A requester that sends one request on a new connection.

use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

use crate::http;
use crate::util::{now, record, sleep_until};

/// A request of a requester.
#[derive(Debug, Clone)]
pub struct Sent {
    pub id: String,
    pub to: SocketAddr,
    pub method: &'static str,
    pub host: &'static str,
    pub path: &'static str,
    pub body: usize,
    /// Time limit of the requester in milliseconds.
    pub limit_ms: u64,
    /// When the requester closes its connection without an answer, after the request was sent.
    pub leaves_after: Option<Duration>,
}

/// What a requester saw.
#[derive(Debug, Clone)]
pub struct Seen {
    pub id: String,
    pub sent_at: Duration,
    /// When the requester closed the connection early.
    pub left_at: Option<Duration>,
    /// Status of the response; 0 without one.
    pub status: u16,
    pub headers: http::Head,
    /// When the answer was complete, or the connection ended.
    pub ended_at: Option<Duration>,
    pub is_complete: bool,
    pub body_bytes: usize,
}

impl Sent {
    /// Sends the request and waits for the end of the answer, for `patience` at most.
    pub fn send(&self, patience: Duration) -> Seen {
        let mut seen = Seen {
            id: self.id.clone(),
            sent_at: now(),
            left_at: None,
            status: 0,
            headers: http::Head::default(),
            ended_at: None,
            is_complete: false,
            body_bytes: 0,
        };
        let _ = self.exchange(&mut seen, patience);
        let end = seen.ended_at.map_or("no end".into(), |at| {
            format!("end at {:.3} s", at.as_secs_f64())
        });
        record(&format!(
            "request {} sent at {:.3} s: status {}, {} body bytes, complete {}, {end}{}",
            seen.id,
            seen.sent_at.as_secs_f64(),
            seen.status,
            seen.body_bytes,
            seen.is_complete,
            seen.left_at.map_or(String::new(), |at| format!(
                ", requester left at {:.3} s",
                at.as_secs_f64()
            )),
        ));
        seen
    }

    fn exchange(&self, seen: &mut Seen, patience: Duration) -> std::io::Result<()> {
        let mut stream = TcpStream::connect_timeout(&self.to, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        let mut text = format!(
            "{} {} HTTP/1.1\r\nHost: {}\r\nRequest-Id: {}\r\nRequest-Deadline: {}\r\n",
            self.method, self.path, self.host, self.id, self.limit_ms
        );
        if self.body > 0 {
            text += &format!("Content-Length: {}\r\n", self.body);
        }
        let mut bytes = (text + "\r\n").into_bytes();
        bytes.resize(bytes.len() + self.body, b'b');
        seen.sent_at = now();
        stream.write_all(&bytes)?;
        if let Some(after) = self.leaves_after {
            sleep_until(seen.sent_at + after);
            let _ = stream.shutdown(Shutdown::Both);
            drop(stream);
            seen.left_at = Some(now());
            return Ok(());
        }
        let until = seen.sent_at + patience;
        let read = read_answer(stream, seen, until);
        if now() < until {
            seen.ended_at = Some(now());
        }
        read
    }
}

fn read_answer(stream: TcpStream, seen: &mut Seen, until: Duration) -> std::io::Result<()> {
    let set_limit = |stream: &TcpStream| {
        let left = until.saturating_sub(now()).max(Duration::from_millis(1));
        stream.set_read_timeout(Some(left))
    };
    set_limit(&stream)?;
    let mut reader = BufReader::new(stream);
    let Some(head) = http::read_head(&mut reader)? else {
        return Ok(());
    };
    seen.status = head.status();
    seen.headers = head.clone();
    let Some(Ok(length)) = head.header("content-length").map(str::parse::<usize>) else {
        set_limit(reader.get_ref())?;
        let body = http::read_body(&mut reader, &head, true)?;
        (seen.body_bytes, seen.is_complete) = (body.len(), true);
        return Ok(());
    };
    let mut buf = [0; 16 << 10];
    while seen.body_bytes < length {
        set_limit(reader.get_ref())?;
        let read = reader.read(&mut buf)?;
        if read == 0 {
            return Ok(());
        }
        seen.body_bytes += read;
    }
    seen.is_complete = true;
    Ok(())
}
