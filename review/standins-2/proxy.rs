//! A TCP proxy in front of the peer port of a daemon. An open connection can be made silent for good.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

#[derive(Default)]
struct Connection {
    is_silent: AtomicBool,
    /// Bytes from the daemon behind the proxy.
    bytes: AtomicU64,
}

#[derive(Clone, Default)]
pub struct Proxy {
    connections: Arc<Mutex<Vec<Arc<Connection>>>>,
}

impl Proxy {
    /// Forwards connections to `listen` to `upstream`.
    pub fn start(listen: SocketAddr, upstream: SocketAddr) -> Proxy {
        let listener = TcpListener::bind(listen).unwrap();
        let proxy = Proxy::default();
        let connections = proxy.connections.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let Ok(other) = TcpStream::connect(upstream) else {
                    continue;
                };
                let connection = Arc::new(Connection::default());
                connections.lock().unwrap().push(connection.clone());
                for (from, to, counts) in [(&stream, &other, false), (&other, &stream, true)] {
                    let _ = from.set_nodelay(true);
                    if let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) {
                        let connection = connection.clone();
                        std::thread::spawn(move || pump(&connection, from, to, counts));
                    }
                }
            }
        });
        proxy
    }

    /// Makes the connection silent on which most bytes came from the daemon. All others go on, and
    /// new ones work. Returns its bytes and the number of connections that were opened so far.
    pub fn silence_busiest(&self) -> (u64, usize) {
        let connections = self.connections.lock().unwrap();
        let bytes = |c: &&Arc<Connection>| c.bytes.load(Ordering::SeqCst);
        let Some(busiest) = connections.iter().max_by_key(bytes) else {
            return (0, 0);
        };
        busiest.is_silent.store(true, Ordering::SeqCst);
        (bytes(&busiest), connections.len())
    }
}

fn pump(connection: &Connection, mut from: TcpStream, mut to: TcpStream, counts: bool) {
    let mut buf = [0; 16 << 10];
    loop {
        let read = from.read(&mut buf).unwrap_or(0);
        if connection.is_silent.load(Ordering::SeqCst) {
            if read > 0 {
                continue;
            }
            // The end of a silent connection is not passed on either.
            std::mem::forget((from, to));
            return;
        }
        if counts {
            connection.bytes.fetch_add(read as u64, Ordering::SeqCst);
        }
        if read == 0 || to.write_all(&buf[..read]).is_err() {
            let _ = to.shutdown(Shutdown::Write);
            return;
        }
    }
}
