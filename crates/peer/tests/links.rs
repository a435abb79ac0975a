//! Connections over loopback sockets: peers that stop sending or send invalid data, reconnects, and
//! stalled connections.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use ggs_follow::FleetDigest;
use ggs_member::{GateRecord, GateState};
use ggs_model::{DataCentre, GateId, HostName, Incarnation, ServerId};
use ggs_peer::{
    LinkEvent, LinkFault, LinkTiming, PROTOCOL_VERSION, PeerHeartbeat, PeerHello, PeerMessage,
    PeerNode, encode_message,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::Receiver;
use tokio::time::{sleep, timeout};

/// Time limit for each expected event.
const EVENT_TIMEOUT: Duration = Duration::from_secs(10);

fn timing() -> LinkTiming {
    LinkTiming {
        connect_timeout: Duration::from_millis(300),
        idle_timeout: Duration::from_millis(400),
        initial_backoff: Duration::from_millis(50),
        max_backoff: Duration::from_millis(200),
    }
}

fn hello(host: &str, incarnation: u64, peers: SocketAddr) -> PeerHello {
    let record = GateRecord {
        gate: GateId {
            host: HostName::new(host),
            incarnation: Incarnation(incarnation),
        },
        data_centre: DataCentre::new("dc-1"),
        callers: "127.0.0.1:1".parse().unwrap(),
        peers,
        state: GateState::Live,
    };
    PeerHello {
        version: PROTOCOL_VERSION,
        record,
    }
}

fn heartbeat(sequence: u64) -> PeerMessage {
    PeerMessage::Heartbeat(PeerHeartbeat {
        sequence,
        state: GateState::Draining,
        digest: FleetDigest::default(),
        leaving: Vec::new(),
    })
}

async fn start_node(host: &str) -> (PeerNode, Receiver<LinkEvent>, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (node, events) = PeerNode::start(listener, hello(host, 1, address), timing());
    (node, events, address)
}

/// Waits for the first event for which `wanted` returns a value.
async fn wait_event<T>(
    events: &mut Receiver<LinkEvent>,
    wanted: impl Fn(LinkEvent) -> Option<T>,
) -> T {
    let search = async {
        loop {
            if let Some(found) = wanted(events.recv().await.unwrap()) {
                return found;
            }
        }
    };
    timeout(EVENT_TIMEOUT, search)
        .await
        .expect("event did not arrive")
}

fn fault_of(event: LinkEvent) -> Option<LinkFault> {
    match event {
        LinkEvent::Down { fault, .. } => Some(fault),
        _ => None,
    }
}

fn up_record(event: LinkEvent) -> Option<GateRecord> {
    match event {
        LinkEvent::Up { record, .. } => Some(record),
        _ => None,
    }
}

async fn send_frame(stream: &mut TcpStream, message: &PeerMessage) {
    let bytes = encode_message(message);
    stream.write_u32(bytes.len() as u32).await.unwrap();
    stream.write_all(&bytes).await.unwrap();
}

#[actix_rt::test]
async fn messages_pass_both_ways() {
    let (dialler, mut dialler_events, _) = start_node("entry-1").await;
    let (_accepter, mut accepter_events, address) = start_node("entry-2").await;
    dialler.dial(address);
    wait_event(&mut dialler_events, up_record).await;
    let address = "127.0.0.1:9".parse().unwrap();
    let leaving = PeerMessage::Leaving(vec![ServerId {
        address,
        incarnation: Incarnation(4),
    }]);
    dialler.send_all(&heartbeat(1));
    dialler.send_all(&leaving);
    let mut seen = Vec::new();
    while seen.len() < 2 {
        let message = |event| match event {
            LinkEvent::Message {
                record,
                message,
                outbox,
                ..
            } => Some((record, message, outbox)),
            _ => None,
        };
        let (record, message, outbox) = wait_event(&mut accepter_events, message).await;
        assert_eq!(record.gate.host.as_str(), "entry-1");
        if matches!(message, PeerMessage::Heartbeat(_)) {
            assert_eq!(record.state, GateState::Draining);
        }
        outbox.push(PeerMessage::PeerAddresses(vec![address]));
        seen.push(message);
    }
    assert!(seen.contains(&leaving) && seen.contains(&heartbeat(1)));
    let peer_addresses = |event| match event {
        LinkEvent::Message {
            message: PeerMessage::PeerAddresses(addresses),
            ..
        } => Some(addresses),
        _ => None,
    };
    assert_eq!(
        wait_event(&mut dialler_events, peer_addresses).await,
        [address]
    );
}

/// How the other end of a connection misbehaves.
#[derive(Clone, Copy, Debug, PartialEq)]
enum BadPeer {
    SilentAtOnce,
    SilentAfterHello,
    ClosesAtOnce,
    SpeaksHttp,
    SendsEmptyFrame,
    SkipsHello,
    OtherVersion,
}

async fn serve_badly(mut stream: TcpStream, kind: BadPeer) {
    let peers = "127.0.0.1:1".parse().unwrap();
    let hello_message = PeerMessage::Hello(hello("entry-9", 1, peers));
    match kind {
        BadPeer::SilentAtOnce => {}
        BadPeer::ClosesAtOnce => return,
        BadPeer::SilentAfterHello => send_frame(&mut stream, &hello_message).await,
        BadPeer::SpeaksHttp => stream
            .write_all(b"HTTP/1.1 400 Bad Request\r\n\r\n")
            .await
            .unwrap(),
        BadPeer::SendsEmptyFrame => stream.write_u32(0).await.unwrap(),
        BadPeer::SkipsHello => send_frame(&mut stream, &heartbeat(1)).await,
        BadPeer::OtherVersion => {
            let mut other = hello("entry-9", 1, peers);
            other.version = PROTOCOL_VERSION + 1;
            send_frame(&mut stream, &PeerMessage::Hello(other)).await;
        }
    }
    let mut sink = [0; 1_024];
    // Reads until the node closes the connection.
    while stream.read(&mut sink).await.is_ok_and(|count| count > 0) {}
}

/// A connection to a hung, foreign or outdated process must end by itself. Otherwise the link would
/// stay broken after a working gate has taken over the address.
#[actix_rt::test]
async fn bad_connections_end_with_a_fault_and_are_replaced() {
    struct Case {
        peer: BadPeer,
        expected: fn(&LinkFault) -> bool,
    }
    let cases = [
        Case {
            peer: BadPeer::SilentAtOnce,
            expected: |fault| *fault == LinkFault::TimedOut,
        },
        Case {
            peer: BadPeer::SilentAfterHello,
            expected: |fault| *fault == LinkFault::TimedOut,
        },
        Case {
            peer: BadPeer::ClosesAtOnce,
            expected: |fault| matches!(fault, LinkFault::Closed { .. }),
        },
        Case {
            peer: BadPeer::SpeaksHttp,
            expected: |fault| matches!(fault, LinkFault::InvalidFrame(_)),
        },
        Case {
            peer: BadPeer::SendsEmptyFrame,
            expected: |fault| matches!(fault, LinkFault::InvalidFrame(_)),
        },
        Case {
            peer: BadPeer::SkipsHello,
            expected: |fault| *fault == LinkFault::NoHello,
        },
        Case {
            peer: BadPeer::OtherVersion,
            expected: |fault| matches!(fault, LinkFault::VersionMismatch { .. }),
        },
    ];
    for case in cases {
        let (node, mut events, _) = start_node("entry-1").await;
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        node.dial(address);
        let (stream, _) = listener.accept().await.unwrap();
        let bad = actix_rt::spawn(serve_badly(stream, case.peer));
        let fault = wait_event(&mut events, fault_of).await;
        assert!((case.expected)(&fault), "{:?}: {fault}", case.peer);
        timeout(EVENT_TIMEOUT, bad)
            .await
            .expect("connection was not closed")
            .unwrap();
        // A working gate now accepts connections at the same address.
        let good = hello("entry-2", 1, address);
        let (_good, _good_events) = PeerNode::start(listener, good, timing());
        let started = Instant::now();
        wait_event(&mut events, up_record).await;
        assert!(
            started.elapsed() < Duration::from_secs(2),
            "{:?}",
            case.peer
        );
    }
}

/// The port is open to clients that are not gates, such as HTTP probes and port scanners. Their
/// bytes must not stop the node from accepting other gates.
#[actix_rt::test]
async fn invalid_bytes_close_the_connection_and_the_node_still_accepts() {
    let (_node, mut events, address) = start_node("entry-1").await;
    for bytes in [
        &b"GET / HTTP/1.1\r\n\r\n"[..],
        &[0xff; 64],
        &[0, 0, 0, 2, 0xff, 0xff],
    ] {
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_all(bytes).await.unwrap();
        let fault = wait_event(&mut events, fault_of).await;
        assert!(matches!(fault, LinkFault::InvalidFrame(_)), "{fault}");
        let mut rest = Vec::new();
        // The connection may end cleanly or by a reset.
        let end = timeout(EVENT_TIMEOUT, stream.read_to_end(&mut rest)).await;
        assert!(end.is_ok(), "connection was not closed");
    }
    let (dialler, mut dialler_events, _) = start_node("entry-2").await;
    dialler.dial(address);
    wait_event(&mut dialler_events, up_record).await;
}

/// The host list and the settings of all gates may contain a gate's own address. Without the check,
/// the gate would connect to itself over and over.
#[actix_rt::test]
async fn own_address_is_dialled_once() {
    let (node, mut events, address) = start_node("entry-1").await;
    node.dial(address);
    let own = |event| fault_of(event).filter(|fault| *fault == LinkFault::OwnAddress);
    wait_event(&mut events, own).await;
    sleep(Duration::from_millis(500)).await;
    let mut later = Vec::new();
    while let Ok(event) = events.try_recv() {
        later.extend(fault_of(event).filter(|fault| *fault == LinkFault::OwnAddress));
    }
    // The accepted end of the one connection may report the fault too.
    assert!(later.len() <= 1, "{later:?}");
}

/// Without bounds, the queue of a stalled connection would grow with each heartbeat and change.
#[actix_rt::test]
async fn stalled_link_keeps_only_the_newest_state() {
    let outbox = ggs_peer::Outbox::default();
    for sequence in 0..100_000 {
        outbox.push(heartbeat(sequence));
        outbox.push(PeerMessage::Changes(ggs_follow::ChangeSet::default()));
        let address = SocketAddr::from(([127, 0, 0, 1], (sequence % 50_000) as u16));
        let server = ServerId {
            address,
            incarnation: Incarnation(sequence),
        };
        outbox.push(PeerMessage::Leaving(vec![server]));
    }
    outbox.close();
    let mut popped = Vec::new();
    while let Some(message) = outbox.pop() {
        match message {
            PeerMessage::Leaving(servers) => assert!(servers.len() <= 8_192),
            PeerMessage::Heartbeat(last) => assert_eq!(last.sequence, 99_999),
            _ => {}
        }
        popped.push(());
    }
    assert!(popped.len() <= 10, "{}", popped.len());
}

/// If the links closed at once, the other gates would learn of a stop only when the lease expires.
#[actix_rt::test]
async fn goodbye_is_sent_before_the_link_ends() {
    let (dialler, mut dialler_events, _) = start_node("entry-1").await;
    let (_accepter, mut accepter_events, address) = start_node("entry-2").await;
    dialler.dial(address);
    wait_event(&mut dialler_events, up_record).await;
    let gate = GateId {
        host: HostName::new("entry-1"),
        incarnation: Incarnation(1),
    };
    dialler.send_all(&PeerMessage::Goodbye(gate.clone()));
    dialler.stop();
    let goodbye = |event| match event {
        LinkEvent::Message {
            message: PeerMessage::Goodbye(gate),
            ..
        } => Some(gate),
        _ => None,
    };
    assert_eq!(wait_event(&mut accepter_events, goodbye).await, gate);
}
