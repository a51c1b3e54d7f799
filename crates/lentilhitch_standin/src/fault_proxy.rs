//! A TCP proxy that can block all connections between its clients and its target, to simulate a network partition.

use std::{
    io,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
};

use parking_lot::Mutex;

/// A TCP proxy that runs on its own threads in this process.
#[derive(Clone, Debug)]
pub struct FaultProxy {
    address: SocketAddr,
    is_blocked: Arc<AtomicBool>,
    open_streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl FaultProxy {
    /// Listens on a free port of `listen_ip` and forwards connections to `target`.
    pub fn start(listen_ip: std::net::IpAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((listen_ip, 0))?;
        let proxy = Self {
            address: listener.local_addr()?,
            is_blocked: Arc::default(),
            open_streams: Arc::default(),
        };
        let accepting_proxy = proxy.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                accepting_proxy.forward(stream, target);
            }
        });
        Ok(proxy)
    }

    /// Returns the address that clients connect to in place of the target's.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes every connection, and every new one at once, until unblocked.
    pub fn block(&self) {
        self.is_blocked.store(true, Ordering::SeqCst);
        for stream in self.open_streams.lock().drain(..) {
            // The stream may be closed already.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Forwards new connections again.
    pub fn unblock(&self) {
        self.is_blocked.store(false, Ordering::SeqCst);
    }

    fn forward(&self, client_stream: TcpStream, target: SocketAddr) {
        if self.is_blocked.load(Ordering::SeqCst) {
            return;
        }
        let Ok(target_stream) = TcpStream::connect(target) else { return };
        let directions = [
            (client_stream.try_clone(), target_stream.try_clone()),
            (target_stream.try_clone(), client_stream.try_clone()),
        ];
        self.open_streams.lock().extend([client_stream, target_stream]);
        for direction in directions {
            let (Ok(mut source), Ok(mut sink)) = direction else { return };
            thread::spawn(move || {
                // Either side may close at any time.
                let _ = io::copy(&mut source, &mut sink);
                let _ = sink.shutdown(Shutdown::Write);
            });
        }
    }
}
