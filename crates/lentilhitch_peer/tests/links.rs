//! Links open only between peers that share a key, match responses to their requests, and are not affected by invalid
//! frames on other links.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures_util::{SinkExt, StreamExt};
use lentilhitch_peer::{
    Handler, HandshakeError, Key, Link, LinkSettings, RequestError, Side, Transcript, decode, dial,
    listen, prove, verify,
};
use lentilhitch_types::InstanceName;
use proptest::prelude::{any, prop_assert, prop_assert_eq, proptest};
use tokio::{net::TcpListener, sync::mpsc};
use tokio_tungstenite::tungstenite::Message;

const TIMEOUT: Duration = Duration::from_secs(10);

struct Echo {
    messages: mpsc::UnboundedSender<String>,
}

impl Handler<String> for Echo {
    fn on_notification(&self, peer: &InstanceName, message: String) {
        self.messages.send(format!("{peer}: {message}")).unwrap();
    }

    async fn on_request(&self, _: &InstanceName, message: String) -> String {
        if message == "never" {
            std::future::pending::<()>().await;
        }
        format!("re: {message}")
    }
}

fn settings(name: &str, keys: &[&str]) -> LinkSettings {
    LinkSettings {
        local_name: name.parse().unwrap(),
        keys: keys.iter().map(|it| Key(it.as_bytes().to_vec())).collect(),
        frame_bytes_max: 4_096,
        handshake_timeout: TIMEOUT,
    }
}

async fn start_listener(keys: &[&str]) -> (SocketAddr, mpsc::UnboundedReceiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (messages, receiver) = mpsc::unbounded_channel();
    tokio::spawn(listen(listener, settings("entry-1", keys), Arc::new(Echo { messages })));
    (address, receiver)
}

async fn dial_listener(address: SocketAddr, keys: &[&str]) -> Result<Link<String>, HandshakeError> {
    dial(&settings("entry-2", keys), &"entry-1".parse().unwrap(), address).await
}

struct KeyCase {
    name: &'static str,
    listener_keys: &'static [&'static str],
    dialer_keys: &'static [&'static str],
    is_accepted: bool,
}

#[tokio::test]
async fn links_open_only_with_a_shared_key() {
    let cases = [
        KeyCase {
            name: "same key",
            listener_keys: &["old"],
            dialer_keys: &["old"],
            is_accepted: true,
        },
        KeyCase {
            name: "listener changed first",
            listener_keys: &["new", "old"],
            dialer_keys: &["old"],
            is_accepted: true,
        },
        KeyCase {
            name: "dialer changed first",
            listener_keys: &["old", "new"],
            dialer_keys: &["new", "old"],
            is_accepted: true,
        },
        KeyCase {
            name: "wrong key",
            listener_keys: &["old"],
            dialer_keys: &["new"],
            is_accepted: false,
        },
        KeyCase { name: "no key", listener_keys: &["old"], dialer_keys: &[], is_accepted: false },
    ];
    for case in cases {
        let (address, _received) = start_listener(case.listener_keys).await;
        assert_eq!(
            dial_listener(address, case.dialer_keys).await.is_ok(),
            case.is_accepted,
            "{}",
            case.name
        );
    }
}

#[tokio::test]
async fn responses_match_their_requests() {
    let (address, mut received) = start_listener(&["key"]).await;
    let link = dial_listener(address, &["key"]).await.unwrap();
    assert!(link.notify("hello".to_owned()));
    assert_eq!(received.recv().await.unwrap(), "entry-2: hello");
    let requests = (0..50).map(|it| link.request(it.to_string(), TIMEOUT));
    for (idx, response) in futures_util::future::join_all(requests).await.into_iter().enumerate() {
        assert_eq!(response.unwrap(), format!("re: {idx}"));
    }
    let timed_out = link.request("never".to_owned(), Duration::from_millis(20)).await;
    assert_eq!(timed_out.unwrap_err(), RequestError::NoResponse);
}

#[tokio::test]
async fn invalid_frame_closes_only_its_own_link() {
    let (address, mut received) = start_listener(&["key"]).await;
    let other_link = dial_listener(address, &["key"]).await.unwrap();
    for frame in [vec![0xff; 64], vec![0; 8_192]] {
        let (mut socket, _) = tokio_tungstenite::client_async(
            format!("ws://{address}/peer"),
            tokio::net::TcpStream::connect(address).await.unwrap(),
        )
        .await
        .unwrap();
        socket.next().await.unwrap().unwrap();
        // The write fails if the listener closes the link before it has received the whole frame.
        let _ = socket.send(Message::Binary(frame.into())).await;
        while let Some(Ok(_)) = socket.next().await {}
    }
    assert!(other_link.notify("still here".to_owned()));
    assert_eq!(received.recv().await.unwrap(), "entry-2: still here");
}

#[tokio::test]
async fn peer_with_unexpected_name_is_rejected() {
    let (address, _received) = start_listener(&["key"]).await;
    let res =
        dial::<String>(&settings("entry-2", &["key"]), &"entry-3".parse().unwrap(), address).await;
    assert!(matches!(res, Err(HandshakeError::WrongName { .. })));
}

fn transcript(nonce: [u8; 16]) -> Transcript {
    let (listener, dialer) = ("a".parse().unwrap(), "b".parse().unwrap());
    Transcript { listener, listener_nonce: nonce, dialer, dialer_nonce: [0; 16] }
}

proptest! {
    #[test]
    fn decode_never_panics(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = decode::<Vec<(String, Option<u64>)>>(&bytes);
    }

    #[test]
    fn proof_is_valid_for_one_key_side_and_transcript_only(key in any::<[u8; 16]>(), nonce in any::<[u8; 16]>(), other in any::<[u8; 16]>()) {
        let keys = [Key(key.to_vec())];
        let proof = prove(&keys[0], Side::Dialer, &transcript(nonce));
        prop_assert_eq!(verify(&keys, Side::Dialer, &transcript(nonce), &proof), Some(0));
        prop_assert_eq!(verify(&keys, Side::Listener, &transcript(nonce), &proof), None);
        if nonce != other {
            prop_assert!(verify(&keys, Side::Dialer, &transcript(other), &proof).is_none());
        }
        if key != other {
            prop_assert!(verify(&[Key(other.to_vec())], Side::Dialer, &transcript(nonce), &proof).is_none());
        }
    }
}
