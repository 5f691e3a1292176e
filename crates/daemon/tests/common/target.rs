//! A target that follows a script.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

use super::LOOPBACK_ANY_PORT;

/// Behaviour of the scripted target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Script {
    /// Echoes method, path and body, with the request's headers as `got-*` headers. Adds a forged
    /// load header and a hop-by-hop header, which the daemon must not pass on.
    Echo,
    /// Sends half of the body announced by `content-length`, then closes.
    TruncatedLength,
    /// Sends one chunk of a chunked body, then closes.
    TruncatedChunked,
    /// Sends a response that is delimited by the close of the connection.
    CloseDelimited,
    /// Reads the request and closes without a response.
    CloseAfterRead,
    /// Reads the request and never responds.
    Hang,
    /// Refuses with this status and the verdict `NotRun`.
    Refuse(u16),
    /// Sends a 304 with a `content-length` but without a body.
    NotModified,
    /// Reads the first request and closes without a response. Refuses all others with 503 and the
    /// verdict `NotRun`.
    CloseThenRefuse,
    /// Refuses the first request with 503 and the verdict `NotRun`. Echoes all others.
    RefuseOnce,
    /// Echoes, then closes the connection without announcing it by `connection: close`.
    EchoAndClose,
    /// Sends this many chunks of 8 bytes, one for each permit of [`Target::release`].
    Chunks(usize),
}

/// A target on its own port. It counts the requests that it has read completely.
pub struct Target {
    pub address: SocketAddr,
    /// Number of requests read completely, head and body.
    pub requests_read: Arc<AtomicUsize>,
    /// Number of connections that ended.
    pub closed_connections: Arc<AtomicUsize>,
    /// Each permit releases one chunk of [`Script::Chunks`].
    pub release: Arc<tokio::sync::Semaphore>,
    pub script: Arc<Mutex<Script>>,
    accept_task: JoinHandle<()>,
}

impl Drop for Target {
    fn drop(&mut self) {
        self.accept_task.abort();
    }
}

impl Target {
    pub async fn start(script: Script) -> Self {
        let listener = TcpListener::bind(LOOPBACK_ANY_PORT).await.unwrap();
        let address = listener.local_addr().unwrap();
        let (requests_read, closed_connections) =
            (Arc::<AtomicUsize>::default(), Arc::<AtomicUsize>::default());
        let release = Arc::new(tokio::sync::Semaphore::new(0));
        let script = Arc::new(Mutex::new(script));
        let (task_requests, task_closed, task_release, task_script) = (
            requests_read.clone(),
            closed_connections.clone(),
            release.clone(),
            script.clone(),
        );
        let accept_task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (requests_read, closed_connections, release, script) = (
                    task_requests.clone(),
                    task_closed.clone(),
                    task_release.clone(),
                    task_script.clone(),
                );
                tokio::spawn(async move {
                    let _ = run(stream, &requests_read, &release, &script).await;
                    closed_connections.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        Self {
            address,
            requests_read,
            closed_connections,
            release,
            script,
            accept_task,
        }
    }

    /// Returns the number of requests read completely.
    pub fn request_count(&self) -> usize {
        self.requests_read.load(Ordering::SeqCst)
    }
}

async fn run(
    mut stream: TcpStream,
    requests_read: &AtomicUsize,
    release: &tokio::sync::Semaphore,
    script: &Mutex<Script>,
) -> std::io::Result<()> {
    let mut buf = Vec::new();
    loop {
        let Some((head, body)) = read_request(&mut stream, &mut buf).await? else {
            return Ok(());
        };
        let number = requests_read.fetch_add(1, Ordering::SeqCst);
        let script = match *script.lock().unwrap() {
            Script::CloseThenRefuse if number == 0 => Script::CloseAfterRead,
            Script::CloseThenRefuse => Script::Refuse(503),
            Script::RefuseOnce if number == 0 => Script::Refuse(503),
            Script::RefuseOnce => Script::Echo,
            other => other,
        };
        match script {
            Script::RefuseOnce | Script::CloseThenRefuse => unreachable!("replaced above"),
            Script::EchoAndClose => return stream.write_all(&echo_response(&head, &body)).await,
            Script::Echo => stream.write_all(&echo_response(&head, &body)).await?,
            Script::TruncatedLength => {
                return stream
                    .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf.")
                    .await;
            }
            Script::TruncatedChunked => {
                let response =
                    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n";
                return stream.write_all(response).await;
            }
            Script::CloseDelimited => {
                return stream.write_all(b"HTTP/1.1 200 OK\r\n\r\nwhole?").await;
            }
            Script::CloseAfterRead => return Ok(()),
            Script::Hang => {
                // Returns once the daemon closes the connection.
                return stream.read_to_end(&mut buf).await.map(|_| ());
            }
            Script::NotModified => {
                let response = b"HTTP/1.1 304 Not Modified\r\ncontent-length: 5\r\n\r\n";
                stream.write_all(response).await?;
            }
            Script::Refuse(status) => {
                let response = format!(
                    "HTTP/1.1 {status} No\r\nx-masticdeal-verdict: NotRun\r\n\
                     content-length: 0\r\n\r\n"
                );
                stream.write_all(response.as_bytes()).await?;
            }
            Script::Chunks(count) => send_chunks(&mut stream, release, count).await?,
        }
    }
}

async fn send_chunks(
    stream: &mut TcpStream,
    release: &tokio::sync::Semaphore,
    count: usize,
) -> std::io::Result<()> {
    stream
        .write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
        .await?;
    for i in 0..count {
        let mut probe = [0; 1];
        tokio::select! {
            permit = release.acquire() => permit.unwrap().forget(),
            // The daemon closes the connection when the request is cancelled.
            _ = stream.read(&mut probe) => return Err(std::io::ErrorKind::BrokenPipe.into()),
        }
        stream
            .write_all(format!("8\r\nchunk{i:03}\r\n").as_bytes())
            .await?;
    }
    stream.write_all(b"0\r\n\r\n").await
}

fn echo_response(head: &str, body: &[u8]) -> Vec<u8> {
    let mut lines = head.split("\r\n");
    let mut text = lines.next().unwrap_or_default().to_owned();
    text.push('\n');
    text.push_str(&String::from_utf8_lossy(body));
    let mut response = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n", text.len());
    for line in lines.filter(|l| !l.is_empty()) {
        response.push_str(&format!("got-{line}\r\n"));
    }
    response.push_str("x-masticdeal-load: forged\r\nconnection: x-private\r\nx-private: 1\r\n\r\n");
    let mut response = response.into_bytes();
    response.extend_from_slice(text.as_bytes());
    response
}

async fn read_request(
    stream: &mut TcpStream,
    buf: &mut Vec<u8>,
) -> std::io::Result<Option<(String, Vec<u8>)>> {
    let end = loop {
        if let Some(index) = find(buf, b"\r\n\r\n") {
            break index + 4;
        }
        if stream.read_buf(buf).await? == 0 {
            return Ok(None);
        }
    };
    let head = String::from_utf8_lossy(&buf[..end]).into_owned();
    buf.drain(..end);
    let headers: HashMap<String, String> = head
        .lines()
        .filter_map(|l| l.split_once(": "))
        .map(|(n, v)| (n.to_ascii_lowercase(), v.to_owned()))
        .collect();
    if let Some(length) = headers.get("content-length") {
        let length: usize = length.parse().unwrap();
        while buf.len() < length {
            if stream.read_buf(buf).await? == 0 {
                return Ok(None);
            }
        }
        return Ok(Some((head, buf.drain(..length).collect())));
    }
    if !headers.contains_key("transfer-encoding") {
        return Ok(Some((head, Vec::new())));
    }
    let end = loop {
        if let Some(index) = find(buf, b"0\r\n\r\n") {
            break index + 5;
        }
        if stream.read_buf(buf).await? == 0 {
            return Ok(None);
        }
    };
    Ok(Some((head, buf.drain(..end).collect())))
}

fn find(buf: &[u8], pattern: &[u8]) -> Option<usize> {
    buf.windows(pattern.len()).position(|w| w == pattern)
}
