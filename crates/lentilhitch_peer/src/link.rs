//! The dialing side: says, asks, and hears answers.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use parking_lot::Mutex;
use rustc_hash::FxHashMap;
use serde::{Serialize, de::DeserializeOwned};
use tokio::{
    net::TcpStream,
    sync::{mpsc, oneshot},
    time::timeout,
};
use tokio_tungstenite::{
    WebSocketStream, client_async_with_config,
    tungstenite::{Message, protocol::WebSocketConfig},
};

use lentilhitch_types::InstanceName;

use crate::{
    codec::{Frame, decode, encode},
    handshake::{
        Accepted, Challenge, ChallengeResponse, HandshakeError, Key, Side, Transcript, prove,
        verify,
    },
};

/// Frames that may wait to be written to one link.
const QUEUE_FRAMES_MAX: usize = 1_024;

/// What both sides of a link go by.
#[derive(Clone, Debug)]
pub struct LinkSettings {
    pub local_name: InstanceName,
    /// The first is used for dialing; every one is accepted.
    pub keys: Vec<Key>,
    pub frame_bytes_max: usize,
    pub handshake_timeout: Duration,
}

impl LinkSettings {
    pub(crate) fn websocket(&self) -> WebSocketConfig {
        WebSocketConfig::default()
            .max_message_size(Some(self.frame_bytes_max))
            .max_frame_size(Some(self.frame_bytes_max))
    }
}

/// Why a question got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The question was not sent.
    #[error("the link is closed or its queue is full")]
    NotSent,
    /// The question may have been received.
    #[error("no answer came in time")]
    NoResponse,
}

type Waiting<M> = Arc<Mutex<FxHashMap<u64, oneshot::Sender<M>>>>;

/// An open link to a peer. Cheap to clone; closed when the other side goes or stays silent in a write.
#[derive(Debug)]
pub struct Link<M> {
    queue: mpsc::Sender<Bytes>,
    waiting: Waiting<M>,
    n_asked: Arc<AtomicU64>,
    sent_bytes: Arc<AtomicU64>,
}

impl<M> Clone for Link<M> {
    fn clone(&self) -> Self {
        Self {
            queue: self.queue.clone(),
            waiting: self.waiting.clone(),
            n_asked: self.n_asked.clone(),
            sent_bytes: self.sent_bytes.clone(),
        }
    }
}

impl<M: Serialize + DeserializeOwned + Send + 'static> Link<M> {
    /// Sends a message that needs no answer; says whether it could be queued.
    pub fn notify(&self, message: M) -> bool {
        encode(&Frame::Notification(message)).is_ok_and(|it| self.queue(it))
    }

    /// Sends a message and waits for its answer.
    pub async fn request(&self, message: M, wait: Duration) -> Result<M, RequestError> {
        let number = self.n_asked.fetch_add(1, Ordering::Relaxed);
        let frame = encode(&Frame::Request(number, message)).map_err(|_| RequestError::NotSent)?;
        let (sender, receiver) = oneshot::channel();
        self.waiting.lock().insert(number, sender);
        let is_queued = self.queue(frame);
        let answer =
            if is_queued { timeout(wait, receiver).await.ok().and_then(Result::ok) } else { None };
        self.waiting.lock().remove(&number);
        match answer {
            Some(answer) => Ok(answer),
            None if is_queued => Err(RequestError::NoResponse),
            None => Err(RequestError::NotSent),
        }
    }

    /// Bytes of all frames queued so far, without the transport's own headers.
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes.load(Ordering::Relaxed)
    }

    fn queue(&self, frame: Bytes) -> bool {
        self.sent_bytes.fetch_add(frame.len() as u64, Ordering::Relaxed);
        self.queue.try_send(frame).is_ok()
    }

    /// Resolves when the link is closed.
    pub async fn closed(&self) {
        self.queue.closed().await;
    }
}

/// Opens a link to a peer that must have this name.
pub async fn dial<M: Serialize + DeserializeOwned + Send + 'static>(
    settings: &LinkSettings,
    peer: &InstanceName,
    address: SocketAddr,
) -> Result<Link<M>, HandshakeError> {
    let opened = timeout(settings.handshake_timeout, open(settings, peer, address)).await;
    let socket = opened.map_err(|_| HandshakeError::Timeout)??;
    let (queue, frames) = mpsc::channel(QUEUE_FRAMES_MAX);
    let waiting = Waiting::default();
    tokio::spawn(run(socket, frames, waiting.clone()));
    Ok(Link { queue, waiting, n_asked: Arc::default(), sent_bytes: Arc::default() })
}

async fn open(
    settings: &LinkSettings,
    peer: &InstanceName,
    address: SocketAddr,
) -> Result<WebSocketStream<TcpStream>, HandshakeError> {
    let failed = |err: &dyn std::fmt::Display| HandshakeError::Connection(err.to_string());
    let stream = TcpStream::connect(address).await.map_err(|err| failed(&err))?;
    stream.set_nodelay(true).map_err(|err| failed(&err))?;
    let url = format!("ws://{address}/peer");
    let opened = client_async_with_config(url, stream, Some(settings.websocket())).await;
    let (mut socket, _) = opened.map_err(|err| failed(&err))?;

    let challenge: Challenge = receive(&mut socket).await?;
    if challenge.name != *peer {
        return Err(HandshakeError::WrongName { expected: peer.clone(), found: challenge.name });
    }
    let transcript = Transcript {
        listener: challenge.name,
        listener_nonce: challenge.nonce,
        dialer: settings.local_name.clone(),
        dialer_nonce: rand::random(),
    };
    let key = settings.keys.first().ok_or(HandshakeError::WrongKey)?;
    let proof = prove(key, Side::Dialer, &transcript);
    let response = ChallengeResponse {
        nonce: transcript.dialer_nonce,
        name: transcript.dialer.clone(),
        proof,
    };
    send(&mut socket, &response).await?;
    let accepted: Accepted = receive(&mut socket).await?;
    let key = std::slice::from_ref(key);
    verify(key, Side::Listener, &transcript, &accepted.proof).ok_or(HandshakeError::WrongKey)?;
    Ok(socket)
}

pub(crate) async fn receive<T: DeserializeOwned>(
    socket: &mut WebSocketStream<TcpStream>,
) -> Result<T, HandshakeError> {
    match socket.next().await {
        Some(Ok(Message::Binary(bytes))) => {
            decode(&bytes).map_err(|err| HandshakeError::Protocol(err.to_string()))
        }
        Some(Ok(_)) => Err(HandshakeError::Protocol("not a binary frame".to_owned())),
        Some(Err(err)) => Err(HandshakeError::Connection(err.to_string())),
        None => Err(HandshakeError::Connection("closed".to_owned())),
    }
}

pub(crate) async fn send<T: Serialize>(
    socket: &mut WebSocketStream<TcpStream>,
    value: &T,
) -> Result<(), HandshakeError> {
    let bytes = encode(value).map_err(|err| HandshakeError::Protocol(err.to_string()))?;
    socket
        .send(Message::Binary(bytes))
        .await
        .map_err(|err| HandshakeError::Connection(err.to_string()))
}

async fn run<M: DeserializeOwned>(
    socket: WebSocketStream<TcpStream>,
    mut frames: mpsc::Receiver<Bytes>,
    waiting: Waiting<M>,
) {
    let (mut sink, mut source) = socket.split();
    loop {
        tokio::select! {
            frame = frames.recv() => {
                let Some(frame) = frame else { break };
                if sink.send(Message::Binary(frame)).await.is_err() {
                    break;
                }
            }
            received = source.next() => match received {
                Some(Ok(Message::Binary(bytes))) => {
                    let Ok(Frame::Response(number, answer)) = decode::<Frame<M>>(&bytes) else { break };
                    if let Some(sender) = waiting.lock().remove(&number) {
                        // The asker may have stopped waiting.
                        let _ = sender.send(answer);
                    }
                }
                Some(Ok(Message::Close(_)) | Err(_)) | None => break,
                Some(Ok(_)) => {}
            }
        }
    }
    waiting.lock().clear();
}
