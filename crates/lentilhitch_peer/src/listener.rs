//! Listening side of a link: receives notifications and requests, and sends responses.

use std::{future::Future, io, sync::Arc};

use futures_util::{SinkExt, StreamExt};
use serde::{Serialize, de::DeserializeOwned};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc,
    time::timeout,
};
use tokio_tungstenite::{WebSocketStream, accept_async_with_config, tungstenite::Message};

use lentilhitch_types::InstanceName;

use crate::{
    codec::{Frame, decode, encode},
    handshake::{
        Accepted, Challenge, ChallengeResponse, HandshakeError, Side, Transcript, prove, verify,
    },
    link::{LinkSettings, receive, send},
};

/// Maximum number of responses in the send queue of a link.
const QUEUED_RESPONSES_MAX: usize = 256;

/// Handler for the messages of peers.
pub trait Handler<M>: Send + Sync + 'static {
    /// Handles a message without a response.
    fn on_notification(&self, peer: &InstanceName, message: M);

    /// Handles a request and returns the response.
    fn on_request(&self, peer: &InstanceName, message: M) -> impl Future<Output = M> + Send;
}

/// Accepts links until the future is dropped. Returns an error only if accepting a connection fails.
pub async fn listen<M, H>(
    listener: TcpListener,
    settings: LinkSettings,
    handler: Arc<H>,
) -> io::Result<()>
where
    M: Serialize + DeserializeOwned + Send + 'static,
    H: Handler<M>,
{
    let settings = Arc::new(settings);
    loop {
        let (stream, address) = listener.accept().await?;
        let (settings, handler) = (settings.clone(), handler.clone());
        tokio::spawn(async move {
            let accepted =
                timeout(settings.handshake_timeout, accept_link(stream, &settings)).await;
            match accepted.map_err(|_| HandshakeError::Timeout).flatten() {
                Ok((peer, socket)) => serve_link(peer, socket, handler).await,
                Err(err) => log::warn!(address:% = address, error:% = err; "peer link rejected"),
            }
        });
    }
}

/// Runs the listening side of the handshake. Returns the name of the peer and the open socket.
async fn accept_link(
    stream: TcpStream,
    settings: &LinkSettings,
) -> Result<(InstanceName, WebSocketStream<TcpStream>), HandshakeError> {
    stream.set_nodelay(true).map_err(|err| HandshakeError::Connection(err.to_string()))?;
    let accepted = accept_async_with_config(stream, Some(settings.websocket_config())).await;
    let mut socket = accepted.map_err(|err| HandshakeError::Connection(err.to_string()))?;
    let challenge = Challenge { nonce: rand::random(), name: settings.local_name.clone() };
    send(&mut socket, &challenge).await?;
    let response: ChallengeResponse = receive(&mut socket).await?;
    let transcript = Transcript {
        listener: challenge.name,
        listener_nonce: challenge.nonce,
        dialer: response.name,
        dialer_nonce: response.nonce,
    };
    let key_idx = verify(&settings.keys, Side::Dialer, &transcript, &response.proof)
        .ok_or(HandshakeError::WrongKey)?;
    let proof = prove(&settings.keys[key_idx], Side::Listener, &transcript);
    send(&mut socket, &Accepted { proof }).await?;
    Ok((transcript.dialer, socket))
}

/// Passes the messages of a link to the handler and sends its responses, until the link closes.
async fn serve_link<M, H>(peer: InstanceName, socket: WebSocketStream<TcpStream>, handler: Arc<H>)
where
    M: Serialize + DeserializeOwned + Send + 'static,
    H: Handler<M>,
{
    let (mut sink, mut source) = socket.split();
    let (responses, mut queue) = mpsc::channel(QUEUED_RESPONSES_MAX);
    loop {
        tokio::select! {
            Some(bytes) = queue.recv() => {
                if sink.send(Message::Binary(bytes)).await.is_err() {
                    return;
                }
            }
            received = source.next() => {
                let bytes = match received {
                    Some(Ok(Message::Binary(bytes))) => bytes,
                    Some(Ok(Message::Close(_)) | Err(_)) | None => return,
                    Some(Ok(_)) => continue,
                };
                match decode::<Frame<M>>(&bytes) {
                    Ok(Frame::Notification(message)) => handler.on_notification(&peer, message),
                    Ok(Frame::Request(correlation_id, message)) => {
                        let (handler, peer, responses) = (handler.clone(), peer.clone(), responses.clone());
                        tokio::spawn(async move {
                            let response = handler.on_request(&peer, message).await;
                            if let Ok(bytes) = encode(&Frame::Response(correlation_id, response)) {
                                // The send fails if the link has closed in the meantime.
                                let _ = responses.send(bytes).await;
                            }
                        });
                    }
                    Ok(Frame::Response(..)) => return log::warn!(peer:% = peer; "peer link closed: received a response on an accepted link"),
                    Err(err) => return log::warn!(peer:% = peer, error:% = err; "peer link closed: received an invalid frame"),
                }
            }
        }
    }
}
