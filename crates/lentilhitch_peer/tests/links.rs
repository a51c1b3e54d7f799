//! Links open only between holders of a key, survive garbage, and match answers to questions.

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

const WAIT: Duration = Duration::from_secs(10);

struct Echo {
    heard: mpsc::UnboundedSender<String>,
}

impl Handler<String> for Echo {
    fn on_notification(&self, peer: &InstanceName, message: String) {
        self.heard.send(format!("{peer}: {message}")).unwrap();
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
        handshake_timeout: WAIT,
    }
}

async fn start(keys: &[&str]) -> (SocketAddr, mpsc::UnboundedReceiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (heard, receiver) = mpsc::unbounded_channel();
    tokio::spawn(listen(listener, settings("entry-1", keys), Arc::new(Echo { heard })));
    (address, receiver)
}

async fn open(address: SocketAddr, keys: &[&str]) -> Result<Link<String>, HandshakeError> {
    dial(&settings("entry-2", keys), &"entry-1".parse().unwrap(), address).await
}

struct KeyCase {
    name: &'static str,
    listener: &'static [&'static str],
    dialer: &'static [&'static str],
    opens: bool,
}

#[tokio::test]
async fn links_open_between_holders_of_a_key() {
    let cases = [
        KeyCase { name: "same key", listener: &["old"], dialer: &["old"], opens: true },
        KeyCase {
            name: "listener changed first",
            listener: &["new", "old"],
            dialer: &["old"],
            opens: true,
        },
        KeyCase {
            name: "dialer changed first",
            listener: &["old", "new"],
            dialer: &["new", "old"],
            opens: true,
        },
        KeyCase { name: "wrong key", listener: &["old"], dialer: &["new"], opens: false },
        KeyCase { name: "no key", listener: &["old"], dialer: &[], opens: false },
    ];
    for case in cases {
        let (address, _heard) = start(case.listener).await;
        assert_eq!(open(address, case.dialer).await.is_ok(), case.opens, "{}", case.name);
    }
}

#[tokio::test]
async fn answers_belong_to_their_questions() {
    let (address, mut heard) = start(&["key"]).await;
    let link = open(address, &["key"]).await.unwrap();
    assert!(link.notify("hello".to_owned()));
    assert_eq!(heard.recv().await.unwrap(), "entry-2: hello");
    let asks = (0..50).map(|it| link.request(it.to_string(), WAIT));
    for (idx, answer) in futures_util::future::join_all(asks).await.into_iter().enumerate() {
        assert_eq!(answer.unwrap(), format!("re: {idx}"));
    }
    let silent = link.request("never".to_owned(), Duration::from_millis(20)).await;
    assert_eq!(silent.unwrap_err(), RequestError::NoResponse);
}

#[tokio::test]
async fn a_bad_frame_closes_its_link_only() {
    let (address, mut heard) = start(&["key"]).await;
    let good = open(address, &["key"]).await.unwrap();
    for frame in [vec![0xff; 64], vec![0; 8_192]] {
        let (mut socket, _) = tokio_tungstenite::client_async(
            format!("ws://{address}/peer"),
            tokio::net::TcpStream::connect(address).await.unwrap(),
        )
        .await
        .unwrap();
        socket.next().await.unwrap().unwrap();
        // The listener may close while this is being written.
        let _ = socket.send(Message::Binary(frame.into())).await;
        while let Some(Ok(_)) = socket.next().await {}
    }
    assert!(good.notify("still here".to_owned()));
    assert_eq!(heard.recv().await.unwrap(), "entry-2: still here");
}

#[tokio::test]
async fn a_peer_of_another_name_is_refused() {
    let (address, _heard) = start(&["key"]).await;
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
    fn no_bytes_stop_the_decoder(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = decode::<Vec<(String, Option<u64>)>>(&bytes);
    }

    #[test]
    fn a_proof_fits_one_key_one_side_and_one_transcript(key in any::<[u8; 16]>(), nonce in any::<[u8; 16]>(), other in any::<[u8; 16]>()) {
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
