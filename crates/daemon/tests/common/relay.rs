//! A TCP relay whose connections can be silenced.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

use super::LOCAL;

/// A TCP relay in front of a port. Silenced connections never pass data again.
pub struct Relay {
    pub address: SocketAddr,
    silenced: Arc<AtomicUsize>,
    opened: Arc<AtomicUsize>,
    accept: JoinHandle<()>,
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.accept.abort();
    }
}

impl Relay {
    pub async fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind(LOCAL).await.unwrap();
        let address = listener.local_addr().unwrap();
        let (silenced, opened) = (Arc::<AtomicUsize>::default(), Arc::<AtomicUsize>::default());
        let (s, o) = (silenced.clone(), opened.clone());
        let accept = tokio::spawn(async move {
            while let Ok((from, _)) = listener.accept().await {
                let number = o.fetch_add(1, Ordering::SeqCst) + 1;
                let (from_read, from_write) = from.into_split();
                let (to_read, to_write) = TcpStream::connect(to).await.unwrap().into_split();
                tokio::spawn(forward(from_read, to_write, s.clone(), number));
                tokio::spawn(forward(to_read, from_write, s.clone(), number));
            }
        });
        Self {
            address,
            silenced,
            opened,
            accept,
        }
    }

    /// Silences the connections that are open now. They stay open but forward nothing.
    pub fn silence(&self) {
        self.silenced.store(self.opened(), Ordering::SeqCst);
    }

    /// Returns the number of connections accepted so far.
    pub fn opened(&self) -> usize {
        self.opened.load(Ordering::SeqCst)
    }
}

async fn forward(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    silenced: Arc<AtomicUsize>,
    number: usize,
) {
    let mut buf = vec![0; 16 << 10];
    while let Ok(n @ 1..) = from.read(&mut buf).await {
        if silenced.load(Ordering::SeqCst) < number && to.write_all(&buf[..n]).await.is_err() {
            return;
        }
    }
    if silenced.load(Ordering::SeqCst) >= number {
        std::future::pending::<()>().await;
    }
}
