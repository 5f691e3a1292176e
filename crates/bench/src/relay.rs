//! TCP relays in front of the daemons' peer ports, which partition, silence and delay links.
//!
//! A relay identifies the sender by the source address of the connection and connects to the daemon
//! from the same address. A partition holds bytes back in both directions and delivers them after
//! it heals, as TCP does on a network that drops packets. A silenced connection stays open and
//! discards all bytes.

use std::collections::{HashMap, HashSet};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;

/// Maximum number of bytes that are read and forwarded at once.
const CHUNK_BYTES: usize = 16 << 10;

/// Addresses of two VMs, the lower one first.
type Pair = (IpAddr, IpAddr);

/// State of the links between all VMs.
#[derive(Debug, Clone, Default)]
struct Links {
    partitioned: HashSet<Pair>,
    /// Connections of the pair with a lower number are silenced.
    silent_below: HashMap<Pair, u64>,
    delay: Duration,
    /// Number of connections accepted so far by all relays; the number of the next one.
    connection_count: u64,
}

/// Controls all relays of a fleet.
#[derive(Debug, Clone, Default)]
pub struct Relays {
    links: Arc<watch::Sender<Links>>,
}

/// Addresses of a relay.
#[derive(Debug, Clone, Copy)]
pub struct RelayRoute {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Address of the peer port to forward to.
    pub forward_to: SocketAddr,
}

fn ordered_pair(a: IpAddr, b: IpAddr) -> Pair {
    (a.min(b), a.max(b))
}

impl Relays {
    /// Starts one relay for each route.
    ///
    /// # Errors
    ///
    /// If an address cannot be bound.
    pub async fn start(routes: impl Iterator<Item = RelayRoute>) -> std::io::Result<Self> {
        let relays = Self::default();
        for route in routes {
            let listener = TcpListener::bind(route.listen).await?;
            tokio::spawn(accept(listener, route.forward_to, relays.links.clone()));
        }
        Ok(relays)
    }

    /// Partitions the link between two VMs.
    pub fn partition(&self, a: IpAddr, b: IpAddr) {
        self.links.send_modify(|l| {
            l.partitioned.insert(ordered_pair(a, b));
        });
    }

    /// Heals the link between two VMs.
    pub fn heal(&self, a: IpAddr, b: IpAddr) {
        self.links.send_modify(|l| {
            l.partitioned.remove(&ordered_pair(a, b));
        });
    }

    /// Silences the existing connections between two VMs in both directions. Later connections are
    /// not affected.
    pub fn silence(&self, a: IpAddr, b: IpAddr) {
        self.links.send_modify(|l| {
            l.silent_below
                .insert(ordered_pair(a, b), l.connection_count);
        });
    }

    /// Delays every chunk on every link. Chunks in the same direction are delayed one after
    /// another.
    pub fn delay(&self, delay: Duration) {
        self.links.send_modify(|l| l.delay = delay);
    }

    /// Heals all partitions and ends the delay. Silenced connections stay silenced.
    pub fn heal_all(&self) {
        self.links.send_modify(|l| {
            l.partitioned.clear();
            l.delay = Duration::ZERO;
        });
    }
}

async fn accept(listener: TcpListener, forward_to: SocketAddr, links: Arc<watch::Sender<Links>>) {
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            // `accept` fails if no file descriptor is free; the pause avoids a busy loop.
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let mut connection_number = 0;
        links.send_modify(|l| {
            connection_number = l.connection_count;
            l.connection_count += 1;
        });
        let link = ConnectionLink {
            pair: ordered_pair(from.ip(), forward_to.ip()),
            connection_number,
            links: links.subscribe(),
        };
        tokio::spawn(forward(stream, from.ip(), forward_to, link));
    }
}

async fn forward(
    stream: TcpStream,
    from: IpAddr,
    forward_to: SocketAddr,
    mut link: ConnectionLink,
) {
    link.wait_until_healed().await;
    let Ok(upstream) = connect(from, forward_to).await else {
        return;
    };
    let _ = (stream.set_nodelay(true), upstream.set_nodelay(true));
    let (read, write) = stream.into_split();
    let (upstream_read, upstream_write) = upstream.into_split();
    let reverse_link = link.clone();
    tokio::select! {
        () = copy_chunks(read, upstream_write, link) => {}
        () = copy_chunks(upstream_read, write, reverse_link) => {}
    }
}

async fn connect(from: IpAddr, forward_to: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::new(from, 0))?;
    socket.connect(forward_to).await
}

async fn copy_chunks(mut read: OwnedReadHalf, mut write: OwnedWriteHalf, mut link: ConnectionLink) {
    let mut buf = vec![0; CHUNK_BYTES];
    loop {
        let byte_count = read.read(&mut buf).await.unwrap_or(0);
        link.wait_until_healed().await;
        if link.is_silenced() {
            match byte_count {
                0 => link.wait_forever().await,
                _ => continue,
            }
        }
        if byte_count == 0 {
            let _ = write.shutdown().await;
            return;
        }
        let delay = link.links.borrow().delay;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        if write.write_all(&buf[..byte_count]).await.is_err() {
            return;
        }
    }
}

/// Link that one connection uses, with a subscription to the state of all links.
#[derive(Debug, Clone)]
struct ConnectionLink {
    pair: Pair,
    connection_number: u64,
    links: watch::Receiver<Links>,
}

impl ConnectionLink {
    /// Waits while the link is partitioned.
    async fn wait_until_healed(&mut self) {
        let pair = self.pair;
        let _ = self
            .links
            .wait_for(|l| !l.partitioned.contains(&pair))
            .await;
    }

    fn is_silenced(&self) -> bool {
        let links = self.links.borrow();
        links
            .silent_below
            .get(&self.pair)
            .is_some_and(|&limit| self.connection_number < limit)
    }

    /// Never returns, since a silenced connection does not forward the end of the stream either.
    async fn wait_forever(&self) {
        std::future::pending::<()>().await;
    }
}
