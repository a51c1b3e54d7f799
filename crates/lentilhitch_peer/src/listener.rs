//! The listening side: hears, and answers what it is asked.

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

/// Answers that may wait to be written to one link.
const ANSWERS_MAX: usize = 256;

/// What a process does with the messages of its peers.
pub trait Handler<M>: Send + Sync + 'static {
    /// A message that needs no answer.
    fn on_notification(&self, peer: &InstanceName, message: M);

    /// A message that needs an answer.
    fn on_request(&self, peer: &InstanceName, message: M) -> impl Future<Output = M> + Send;
}

/// Accepts links until the task is dropped. Returns an error only when the listener itself fails.
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
            let accepted = timeout(settings.handshake_timeout, accept(stream, &settings)).await;
            match accepted.map_err(|_| HandshakeError::Timeout).flatten() {
                Ok((peer, socket)) => serve(peer, socket, handler).await,
                Err(err) => log::warn!(address:% = address, error:% = err; "peer link refused"),
            }
        });
    }
}

async fn accept(
    stream: TcpStream,
    settings: &LinkSettings,
) -> Result<(InstanceName, WebSocketStream<TcpStream>), HandshakeError> {
    stream.set_nodelay(true).map_err(|err| HandshakeError::Connection(err.to_string()))?;
    let accepted = accept_async_with_config(stream, Some(settings.websocket())).await;
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
    let key = verify(&settings.keys, Side::Dialer, &transcript, &response.proof)
        .ok_or(HandshakeError::WrongKey)?;
    let proof = prove(&settings.keys[key], Side::Listener, &transcript);
    send(&mut socket, &Accepted { proof }).await?;
    Ok((transcript.dialer, socket))
}

async fn serve<M, H>(peer: InstanceName, socket: WebSocketStream<TcpStream>, handler: Arc<H>)
where
    M: Serialize + DeserializeOwned + Send + 'static,
    H: Handler<M>,
{
    let (mut sink, mut source) = socket.split();
    let (answers, mut to_send) = mpsc::channel(ANSWERS_MAX);
    loop {
        tokio::select! {
            Some(bytes) = to_send.recv() => {
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
                    Ok(Frame::Request(number, message)) => {
                        let (handler, peer, answers) = (handler.clone(), peer.clone(), answers.clone());
                        tokio::spawn(async move {
                            let answer = handler.on_request(&peer, message).await;
                            if let Ok(bytes) = encode(&Frame::Response(number, answer)) {
                                // The link may have closed meanwhile.
                                let _ = answers.send(bytes).await;
                            }
                        });
                    }
                    Ok(Frame::Response(..)) => return log::warn!(peer:% = peer; "peer link closed: unasked answer"),
                    Err(err) => return log::warn!(peer:% = peer, error:% = err; "peer link closed: bad frame"),
                }
            }
        }
    }
}
