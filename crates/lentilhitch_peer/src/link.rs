//! Dialing side of a link, which sends notifications and requests and receives responses, and the settings that both
//! sides of a link use.

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

/// Maximum number of frames in the send queue of a link.
const QUEUED_FRAMES_MAX: usize = 1_024;

/// Settings for both the dialing and the listening side of a link.
#[derive(Clone, Debug)]
pub struct LinkSettings {
    pub local_name: InstanceName,
    /// Secrets shared by all peers, with which both sides authenticate each other in the handshake. The first key is
    /// used for dialing. All keys are accepted when listening.
    pub keys: Vec<Key>,
    pub frame_bytes_max: usize,
    pub handshake_timeout: Duration,
}

impl LinkSettings {
    pub(crate) fn websocket_config(&self) -> WebSocketConfig {
        WebSocketConfig::default()
            .max_message_size(Some(self.frame_bytes_max))
            .max_frame_size(Some(self.frame_bytes_max))
    }
}

/// Reason why a request got no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The request was not sent.
    #[error("the link is closed or its queue is full")]
    NotSent,
    /// The peer may have received the request.
    #[error("no response was received within the timeout")]
    NoResponse,
}

/// Requests that wait for a response, by correlation ID.
type PendingRequests<M> = Arc<Mutex<FxHashMap<u64, oneshot::Sender<M>>>>;

/// Open link to a peer. Cheap to clone. The link closes when the peer disconnects or stops acknowledging writes,
/// and when the last clone is dropped.
#[derive(Debug)]
pub struct Link<M> {
    queue: mpsc::Sender<Bytes>,
    pending: PendingRequests<M>,
    next_correlation_id: Arc<AtomicU64>,
    sent_bytes: Arc<AtomicU64>,
}

impl<M> Clone for Link<M> {
    fn clone(&self) -> Self {
        Self {
            queue: self.queue.clone(),
            pending: self.pending.clone(),
            next_correlation_id: self.next_correlation_id.clone(),
            sent_bytes: self.sent_bytes.clone(),
        }
    }
}

impl<M: Serialize + DeserializeOwned + Send + 'static> Link<M> {
    /// Sends a message without a response. Returns whether it was queued.
    pub fn notify(&self, message: M) -> bool {
        encode(&Frame::Notification(message)).is_ok_and(|it| self.enqueue(it))
    }

    /// Sends a message and waits for the response.
    pub async fn request(&self, message: M, wait_limit: Duration) -> Result<M, RequestError> {
        let correlation_id = self.next_correlation_id.fetch_add(1, Ordering::Relaxed);
        let frame =
            encode(&Frame::Request(correlation_id, message)).map_err(|_| RequestError::NotSent)?;
        let (sender, receiver) = oneshot::channel();
        self.pending.lock().insert(correlation_id, sender);
        let is_queued = self.enqueue(frame);
        let response = if is_queued {
            timeout(wait_limit, receiver).await.ok().and_then(Result::ok)
        } else {
            None
        };
        self.pending.lock().remove(&correlation_id);
        match response {
            Some(response) => Ok(response),
            None if is_queued => Err(RequestError::NoResponse),
            None => Err(RequestError::NotSent),
        }
    }

    /// Returns the total size of all frames passed to the send queue so far, in bytes, without WebSocket headers.
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes.load(Ordering::Relaxed)
    }

    fn enqueue(&self, frame: Bytes) -> bool {
        self.sent_bytes.fetch_add(frame.len() as u64, Ordering::Relaxed);
        self.queue.try_send(frame).is_ok()
    }

    /// Resolves when the link is closed.
    pub async fn closed(&self) {
        self.queue.closed().await;
    }
}

/// Opens a link to a peer. Fails if the peer introduces itself under another name.
pub async fn dial<M: Serialize + DeserializeOwned + Send + 'static>(
    settings: &LinkSettings,
    peer: &InstanceName,
    address: SocketAddr,
) -> Result<Link<M>, HandshakeError> {
    let opened = timeout(settings.handshake_timeout, connect(settings, peer, address)).await;
    let socket = opened.map_err(|_| HandshakeError::Timeout)??;
    let (queue, frames) = mpsc::channel(QUEUED_FRAMES_MAX);
    let pending = PendingRequests::default();
    tokio::spawn(run_link(socket, frames, pending.clone()));
    Ok(Link { queue, pending, next_correlation_id: Arc::default(), sent_bytes: Arc::default() })
}

/// Connects to a peer and runs the dialing side of the handshake.
async fn connect(
    settings: &LinkSettings,
    peer: &InstanceName,
    address: SocketAddr,
) -> Result<WebSocketStream<TcpStream>, HandshakeError> {
    let connection_error =
        |err: &dyn std::fmt::Display| HandshakeError::Connection(err.to_string());
    let stream = TcpStream::connect(address).await.map_err(|err| connection_error(&err))?;
    stream.set_nodelay(true).map_err(|err| connection_error(&err))?;
    let url = format!("ws://{address}/peer");
    let opened = client_async_with_config(url, stream, Some(settings.websocket_config())).await;
    let (mut socket, _) = opened.map_err(|err| connection_error(&err))?;

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

/// Receives one handshake message.
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

/// Sends one handshake message.
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

/// Writes queued frames and delivers responses until the link closes or all its handles are dropped.
async fn run_link<M: DeserializeOwned>(
    socket: WebSocketStream<TcpStream>,
    mut frames: mpsc::Receiver<Bytes>,
    pending: PendingRequests<M>,
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
                    let Ok(Frame::Response(correlation_id, response)) = decode::<Frame<M>>(&bytes) else { break };
                    if let Some(sender) = pending.lock().remove(&correlation_id) {
                        // The send fails if the request has timed out.
                        let _ = sender.send(response);
                    }
                }
                Some(Ok(Message::Close(_)) | Err(_)) | None => break,
                Some(Ok(_)) => {}
            }
        }
    }
    pending.lock().clear();
}
