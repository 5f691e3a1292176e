//! A target that answers each request with scripted bytes, whether they are a response or not.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http::HeaderName;
use masticdeald::protocol::{CallerFormat, HeaderNames, Protocol, TargetFormat};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

use super::LOOPBACK_ANY_PORT;

/// Interval between two writes of [`Step::Trickle`].
const TRICKLE_INTERVAL: Duration = Duration::from_millis(50);

/// One step of the answer to a request.
#[derive(Debug, Clone)]
pub enum Step {
    /// Sends the text. `{id}` stands for the id of the request.
    Send(String),
    /// Sends the text again and again until the daemon closes the connection.
    Repeat(String),
    /// The same, at an interval.
    Trickle(String),
    /// Waits.
    Wait(Duration),
    /// Closes the connection.
    Close,
    /// Resets the connection.
    Reset,
}

/// Steps of the answer, by connection, request on this connection, and request of the target. Each
/// counts from 0.
pub type Script = dyn Fn(usize, usize, usize) -> Vec<Step> + Send + Sync;

/// A target that counts the ends of its connections. An answer whose last step does not close the
/// connection keeps it open.
pub struct FaultyTarget {
    pub address: SocketAddr,
    /// Connection and id of each request read.
    pub requests: Arc<Mutex<Vec<(usize, String)>>>,
    /// Number of connections that ended.
    pub closed_connections: Arc<AtomicUsize>,
    /// Number of bytes sent.
    sent_bytes: Arc<AtomicU64>,
    accept_task: JoinHandle<()>,
}

impl Drop for FaultyTarget {
    fn drop(&mut self) {
        self.accept_task.abort();
    }
}

impl FaultyTarget {
    pub async fn start(
        script: impl Fn(usize, usize, usize) -> Vec<Step> + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind(LOOPBACK_ANY_PORT).await.unwrap();
        let address = listener.local_addr().unwrap();
        let requests = Arc::<Mutex<Vec<(usize, String)>>>::default();
        let closed_connections = Arc::<AtomicUsize>::default();
        let sent_bytes = Arc::<AtomicU64>::default();
        let run = TargetRun {
            script: Arc::new(script),
            requests: Arc::clone(&requests),
            sent_bytes: Arc::clone(&sent_bytes),
        };
        let closed = Arc::clone(&closed_connections);
        let accept_task = tokio::spawn(async move {
            let mut connections = 0;
            while let Ok((stream, _)) = listener.accept().await {
                let (run, closed, connection) = (run.clone(), Arc::clone(&closed), connections);
                connections += 1;
                tokio::spawn(async move {
                    let _ = run.serve(stream, connection).await;
                    closed.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        Self {
            address,
            requests,
            closed_connections,
            sent_bytes,
            accept_task,
        }
    }

    /// Returns connection and id of each request read so far.
    pub fn requests(&self) -> Vec<(usize, String)> {
        self.requests.lock().unwrap().clone()
    }

    /// Returns the number of bytes sent.
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes.load(Ordering::SeqCst)
    }

    pub fn closed_connections(&self) -> usize {
        self.closed_connections.load(Ordering::SeqCst)
    }
}

#[derive(Clone)]
struct TargetRun {
    script: Arc<Script>,
    requests: Arc<Mutex<Vec<(usize, String)>>>,
    sent_bytes: Arc<AtomicU64>,
}

impl TargetRun {
    async fn serve(&self, mut stream: TcpStream, connection: usize) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let (mut buf, mut body_bytes) = (Vec::new(), 0);
        for request in 0.. {
            let Some(id) = read_request(&mut stream, &mut buf, &mut body_bytes).await? else {
                return Ok(());
            };
            let number = {
                let mut requests = self.requests.lock().unwrap();
                requests.push((connection, id.clone()));
                requests.len() - 1
            };
            for step in (self.script)(connection, request, number) {
                match step {
                    Step::Send(text) => self.send(&mut stream, &text.replace("{id}", &id)).await?,
                    Step::Repeat(text) => loop {
                        self.send(&mut stream, &text).await?;
                    },
                    Step::Trickle(text) => loop {
                        self.send(&mut stream, &text).await?;
                        wait_or_closed(&mut stream, TRICKLE_INTERVAL).await?;
                    },
                    Step::Wait(wait) => tokio::time::sleep(wait).await,
                    Step::Close => return Ok(()),
                    Step::Reset => return stream.set_zero_linger(),
                }
            }
        }
        Ok(())
    }

    async fn send(&self, stream: &mut TcpStream, text: &str) -> std::io::Result<()> {
        stream.write_all(text.as_bytes()).await?;
        let bytes = text.len() as u64;
        self.sent_bytes.fetch_add(bytes, Ordering::SeqCst);
        Ok(())
    }
}

/// Waits for this time, or returns an error once the daemon closes the connection.
async fn wait_or_closed(stream: &mut TcpStream, wait: Duration) -> std::io::Result<()> {
    let mut probe = [0; 1];
    match tokio::time::timeout(wait, stream.read(&mut probe)).await {
        Ok(_) => Err(std::io::ErrorKind::BrokenPipe.into()),
        Err(_) => Ok(()),
    }
}

/// Reads the head of a request and returns its id. `buf` holds bytes that were read beyond the head,
/// and `body_bytes` is the length of the previous request's body, which is discarded first.
async fn read_request(
    stream: &mut TcpStream,
    buf: &mut Vec<u8>,
    body_bytes: &mut usize,
) -> std::io::Result<Option<String>> {
    let head_end = loop {
        let discarded = buf.len().min(*body_bytes);
        buf.drain(..discarded);
        *body_bytes -= discarded;
        let blank_line = buf.windows(4).position(|bytes| bytes == b"\r\n\r\n");
        if let Some(i) = blank_line.filter(|_| *body_bytes == 0) {
            break i + 4;
        }
        if stream.read_buf(buf).await? == 0 {
            return Ok(None);
        }
    };
    let head: Vec<u8> = buf.drain(..head_end).collect();
    let head = String::from_utf8_lossy(&head).into_owned();
    let value = |name| head.lines().find_map(|l| l.strip_prefix(name));
    *body_bytes = value("content-length: ").map_or(0, |n| n.parse().unwrap());
    Ok(Some(value("x-request-id: ").unwrap_or_default().to_owned()))
}

/// Returns a protocol in which a response repeats the id of its request, a successful one carries a
/// signature, and a body may be delimited by the close of the connection.
pub fn identifying_protocol() -> Protocol {
    let protocol = Protocol::default();
    Protocol {
        headers: HeaderNames {
            signature: Some(HeaderName::from_static("x-signature")),
            ..protocol.headers
        },
        target: TargetFormat {
            close_delimited: true,
            ..protocol.target
        },
        caller: CallerFormat {
            requires_request_id: true,
            ..protocol.caller
        },
        ..protocol
    }
}
