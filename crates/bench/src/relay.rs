//! TCP relays in front of the daemons' peers ports, to cut, silence and delay links.
//!
//! A relay tells the sender from the address that a connection comes from, and connects onwards
//! from that address. A cut holds bytes back in both directions, as a network that drops packets
//! does, and delivers them after it heals; a silenced connection swallows bytes for good.

use std::collections::{HashMap, HashSet};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;

/// Bytes read at once.
const CHUNK_BYTES: usize = 16 << 10;

/// Two VMs, the lower address first.
type Pair = (IpAddr, IpAddr);

/// State of all links.
#[derive(Debug, Clone, Default)]
struct Links {
    cut: HashSet<Pair>,
    /// Connections with a lower number are silent.
    silent_below: HashMap<Pair, u64>,
    delay: Duration,
    connections: u64,
}

/// Control of all relays of a fleet.
#[derive(Debug, Clone, Default)]
pub struct Relay {
    links: Arc<watch::Sender<Links>>,
}

/// Where a relay listens and what it forwards to.
#[derive(Debug, Clone, Copy)]
pub struct Route {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Address of the peers port.
    pub to: SocketAddr,
}

fn pair(a: IpAddr, b: IpAddr) -> Pair {
    (a.min(b), a.max(b))
}

impl Relay {
    /// Starts relays on all routes.
    ///
    /// # Errors
    ///
    /// When an address cannot be bound.
    pub async fn start(routes: impl Iterator<Item = Route>) -> std::io::Result<Self> {
        let relay = Self::default();
        for route in routes {
            let listener = TcpListener::bind(route.listen).await?;
            tokio::spawn(accept(listener, route.to, relay.links.clone()));
        }
        Ok(relay)
    }

    /// Cuts the link of two VMs.
    pub fn cut(&self, a: IpAddr, b: IpAddr) {
        self.links.send_modify(|l| {
            l.cut.insert(pair(a, b));
        });
    }

    /// Heals the link of two VMs.
    pub fn heal(&self, a: IpAddr, b: IpAddr) {
        self.links.send_modify(|l| {
            l.cut.remove(&pair(a, b));
        });
    }

    /// Makes the existing connections of two VMs silent; new ones work.
    pub fn silence(&self, a: IpAddr, b: IpAddr) {
        self.links.send_modify(|l| {
            l.silent_below.insert(pair(a, b), l.connections);
        });
    }

    /// Delays every chunk on every link.
    pub fn delay(&self, delay: Duration) {
        self.links.send_modify(|l| l.delay = delay);
    }

    /// Heals all cuts and ends all delays. Silent connections stay silent.
    pub fn heal_all(&self) {
        self.links.send_modify(|l| {
            l.cut.clear();
            l.delay = Duration::ZERO;
        });
    }
}

async fn accept(listener: TcpListener, to: SocketAddr, links: Arc<watch::Sender<Links>>) {
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            // Accepting fails while descriptors run out; the pause keeps the loop from spinning.
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let mut number = 0;
        links.send_modify(|l| {
            number = l.connections;
            l.connections += 1;
        });
        let link = Link {
            pair: pair(from.ip(), to.ip()),
            number,
            links: links.subscribe(),
        };
        tokio::spawn(forward(stream, from.ip(), to, link));
    }
}

async fn forward(stream: TcpStream, from: IpAddr, to: SocketAddr, mut link: Link) {
    link.open().await;
    let Ok(onward) = connect(from, to).await else {
        return;
    };
    let _ = (stream.set_nodelay(true), onward.set_nodelay(true));
    let (read, write) = stream.into_split();
    let (onward_read, onward_write) = onward.into_split();
    let back = link.clone();
    tokio::select! {
        () = pump(read, onward_write, link) => {}
        () = pump(onward_read, write, back) => {}
    }
}

async fn connect(from: IpAddr, to: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::new(from, 0))?;
    socket.connect(to).await
}

async fn pump(mut read: OwnedReadHalf, mut write: OwnedWriteHalf, mut link: Link) {
    let mut buf = vec![0; CHUNK_BYTES];
    loop {
        let count = read.read(&mut buf).await.unwrap_or(0);
        link.open().await;
        if link.silent() {
            match count {
                0 => link.never().await,
                _ => continue,
            }
        }
        if count == 0 {
            let _ = write.shutdown().await;
            return;
        }
        let delay = link.links.borrow().delay;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        if write.write_all(&buf[..count]).await.is_err() {
            return;
        }
    }
}

/// One connection's view of its link.
#[derive(Debug, Clone)]
struct Link {
    pair: Pair,
    number: u64,
    links: watch::Receiver<Links>,
}

impl Link {
    /// Waits until the link is not cut.
    async fn open(&mut self) {
        let pair = self.pair;
        let _ = self.links.wait_for(|l| !l.cut.contains(&pair)).await;
    }

    fn silent(&self) -> bool {
        let links = self.links.borrow();
        links
            .silent_below
            .get(&self.pair)
            .is_some_and(|&below| self.number < below)
    }

    /// A silent connection passes no end of stream on either.
    async fn never(&self) {
        std::future::pending::<()>().await;
    }
}
