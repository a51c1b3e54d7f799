//! The path from one node to one upstream, which can be cut.

use std::{net::SocketAddr, sync::Arc};

use parking_lot::Mutex;
use tokio::{
    io::copy_bidirectional,
    net::{TcpListener, TcpSocket, TcpStream},
    sync::watch,
    task::{AbortHandle, JoinSet},
};

/// What becomes of connections over a link that is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// Open connections live on, and new ones are refused.
    RefuseNew,
    /// Open connections are closed, and new ones are refused.
    Close,
    /// Open connections fall silent, and new ones hang.
    Silent,
    /// Open connections fall silent for good, and new ones work.
    SilenceOpen,
}

/// Forwards connections to an upstream until it is cut.
pub struct Link {
    pub address: SocketAddr,
    target: SocketAddr,
    is_silent: watch::Sender<bool>,
    /// How often the open connections have fallen silent for good.
    n_silenced: watch::Sender<u64>,
    state: Mutex<State>,
}

struct State {
    /// Accepts connections. Dropping its listener refuses new ones.
    accepting: Option<AbortHandle>,
    connections: Arc<Mutex<JoinSet<()>>>,
    /// Listener that accepts nothing, and the connections that fill its queue.
    full_queue: Option<(TcpListener, Vec<tokio::task::JoinHandle<()>>)>,
}

/// Connections that fill the queue of a listener with a backlog of 0.
const N_QUEUED: usize = 2;

impl Link {
    /// Starts to forward connections to the target.
    pub async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((crate::harness::own_ip(), 0)).await?;
        let address = listener.local_addr()?;
        let connections = Arc::new(Mutex::new(JoinSet::new()));
        let state = State { accepting: None, connections, full_queue: None };
        let link = Self {
            address,
            target,
            is_silent: watch::Sender::new(false),
            n_silenced: watch::Sender::new(0),
            state: Mutex::new(state),
        };
        link.accept(listener);
        Ok(link)
    }

    fn accept(&self, listener: TcpListener) {
        let mut state = self.state.lock();
        let (target, connections) = (self.target, state.connections.clone());
        let (is_silent, n_silenced) = (self.is_silent.subscribe(), self.n_silenced.subscribe());
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let silences = (is_silent.clone(), n_silenced.clone());
                connections.lock().spawn(forward(stream, target, silences));
            }
        });
        state.accepting = Some(task.abort_handle());
    }

    /// Cuts the link.
    pub async fn cut(&self, cut: Cut) -> std::io::Result<()> {
        if cut == Cut::SilenceOpen {
            self.n_silenced.send_modify(|it| *it += 1);
            return Ok(());
        }
        let accepting = self.state.lock().accepting.take();
        if let Some(task) = accepting {
            task.abort();
            while !task.is_finished() {
                tokio::task::yield_now().await;
            }
        }
        match cut {
            Cut::RefuseNew | Cut::SilenceOpen => {}
            Cut::Close => self.state.lock().connections.lock().abort_all(),
            Cut::Silent => {
                self.is_silent.send_replace(true);
                let socket = TcpSocket::new_v4()?;
                socket.set_reuseaddr(true)?;
                socket.bind(self.address)?;
                let listener = socket.listen(0)?;
                let address = self.address;
                let connect = |_| {
                    tokio::spawn(async move {
                        let _stream = TcpStream::connect(address).await;
                        std::future::pending::<()>().await;
                    })
                };
                let queued = (0..N_QUEUED).map(connect).collect();
                self.state.lock().full_queue = Some((listener, queued));
            }
        }
        Ok(())
    }

    /// Forwards connections again.
    pub fn heal(&self) -> std::io::Result<()> {
        let full_queue = self.state.lock().full_queue.take();
        if let Some((listener, queued)) = full_queue {
            drop(listener);
            queued.iter().for_each(tokio::task::JoinHandle::abort);
        }
        self.is_silent.send_replace(false);
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(self.address)?;
        self.accept(socket.listen(1_024)?);
        Ok(())
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        let mut state = self.state.lock();
        if let Some(task) = state.accepting.take() {
            task.abort();
        }
        state.connections.lock().abort_all();
    }
}

/// Forwards a connection. While the link is silent, nothing passes, and nothing ever once its open connections have fallen
/// silent for good.
async fn forward(
    mut stream: TcpStream,
    target: SocketAddr,
    (mut is_silent, mut n_silenced): (watch::Receiver<bool>, watch::Receiver<u64>),
) {
    let n_before = *n_silenced.borrow();
    let Ok(mut upstream) = TcpStream::connect(target).await else { return };
    loop {
        if is_silent.wait_for(|it| !it).await.is_err() {
            return;
        }
        let is_silenced = tokio::select! {
            // Either side may close at any time.
            _ = copy_bidirectional(&mut stream, &mut upstream) => return,
            _ = is_silent.wait_for(|it| *it) => false,
            is_silenced = async { n_silenced.wait_for(|it| n_before < *it).await.is_ok() } => is_silenced,
        };
        if is_silenced {
            // Both sides stay connected.
            return std::future::pending().await;
        }
    }
}
