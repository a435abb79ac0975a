//! Every message can be encoded and decoded again, and no input makes the decoder panic.

use std::sync::Arc;
use std::time::Duration;

use ggs_follow::{AcceptedDocument, AcceptedEdit, ChangeSet, FleetDigest};
use ggs_member::{GateRecord, GateState};
use ggs_model::{
    DataCentre, DocumentRevision, EditId, GateId, HostName, Incarnation, ServerEntry, ServerId,
    ServerState, ServiceDocument, ServiceName, VersionedDocument,
};
use ggs_peer::{
    PROTOCOL_VERSION, PeerHeartbeat, PeerHello, PeerMessage, PullRequest, decode_message,
    encode_message,
};
use proptest::prelude::*;

fn samples() -> Vec<PeerMessage> {
    let gate = GateId {
        host: HostName::new("entry-1"),
        incarnation: Incarnation(u64::MAX),
    };
    let record = GateRecord {
        gate: gate.clone(),
        data_centre: DataCentre::new("dc-1"),
        callers: "127.0.0.1:8000".parse().unwrap(),
        peers: "[::1]:9000".parse().unwrap(),
        state: GateState::Draining,
    };
    let address = "10.0.0.1:80".parse().unwrap();
    let server = ServerId {
        address,
        incarnation: Incarnation(3),
    };
    let service = ServiceName::new("ledger");
    let revision = DocumentRevision(9);
    let document = Arc::new(ServiceDocument::new("ledger", "wagowa"));
    let edit = AcceptedEdit {
        id: EditId(7),
        revision,
        fingerprint: u64::MAX,
    };
    let accepted = AcceptedDocument {
        versioned: VersionedDocument { revision, document },
        edits: vec![edit],
    };
    let digest = FleetDigest {
        fleet: revision,
        age: Some(Duration::from_millis(40)),
    };
    let entry = ServerEntry {
        service,
        server,
        data_centre: DataCentre::new("dc-1"),
        state: ServerState::Leaving,
    };
    let heartbeat = PeerHeartbeat {
        sequence: 5,
        state: GateState::Live,
        digest,
        leaving: vec![server],
    };
    let unconfirmed = FleetDigest {
        age: None,
        ..digest
    };
    let unconfirmed_heartbeat = PeerHeartbeat {
        digest: unconfirmed,
        leaving: vec![],
        ..heartbeat.clone()
    };
    let set = ChangeSet {
        after: DocumentRevision(8),
        up_to: revision,
        documents: vec![accepted],
    };
    vec![
        PeerMessage::Hello(PeerHello {
            version: PROTOCOL_VERSION,
            record,
        }),
        PeerMessage::Heartbeat(heartbeat),
        PeerMessage::Heartbeat(unconfirmed_heartbeat),
        PeerMessage::Echo(0),
        PeerMessage::Leaving(vec![server]),
        PeerMessage::Changes(set),
        PeerMessage::Pull(PullRequest {
            after: revision,
            servers: true,
        }),
        PeerMessage::Servers(vec![entry]),
        PeerMessage::PeerAddresses(vec![address]),
        PeerMessage::Goodbye(gate),
    ]
}

#[test]
fn decoding_restores_every_encoded_message() {
    for message in samples() {
        assert_eq!(decode_message(&encode_message(&message)), Ok(message));
    }
}

proptest! {
    #[test]
    fn arbitrary_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = decode_message(&bytes);
    }

    #[test]
    fn damaged_messages_never_panic(which in 0..10usize, at in any::<usize>(), byte in any::<u8>(), cut in any::<bool>()) {
        let mut bytes = encode_message(&samples()[which]);
        let at = at % bytes.len();
        bytes[at] = byte;
        if cut {
            bytes.truncate(at);
        }
        let _ = decode_message(&bytes);
    }
}
