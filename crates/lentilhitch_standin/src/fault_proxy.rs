//! A TCP proxy whose link can be cut and healed.

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

/// A proxy in this process, on threads of its own.
#[derive(Clone, Debug)]
pub struct FaultProxy {
    address: SocketAddr,
    is_blocked: Arc<AtomicBool>,
    open_streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl FaultProxy {
    /// Listens on a free port of `from` and forwards to `to`.
    pub fn start(from: std::net::IpAddr, to: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((from, 0))?;
        let proxy = Self {
            address: listener.local_addr()?,
            is_blocked: Arc::default(),
            open_streams: Arc::default(),
        };
        let accepting = proxy.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                accepting.forward(stream, to);
            }
        });
        Ok(proxy)
    }

    /// Where to connect instead of the target.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes every connection and refuses new ones until healed.
    pub fn block(&self) {
        self.is_blocked.store(true, Ordering::SeqCst);
        for stream in self.open_streams.lock().drain(..) {
            // It may be closed already.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Forwards again.
    pub fn unblock(&self) {
        self.is_blocked.store(false, Ordering::SeqCst);
    }

    fn forward(&self, near: TcpStream, to: SocketAddr) {
        if self.is_blocked.load(Ordering::SeqCst) {
            return;
        }
        let Ok(far) = TcpStream::connect(to) else { return };
        let pairs = [(near.try_clone(), far.try_clone()), (far.try_clone(), near.try_clone())];
        self.open_streams.lock().extend([near, far]);
        for pair in pairs {
            let (Ok(mut source), Ok(mut sink)) = pair else { return };
            thread::spawn(move || {
                // Either side may close at any time.
                let _ = io::copy(&mut source, &mut sink);
                let _ = sink.shutdown(Shutdown::Write);
            });
        }
    }
}
