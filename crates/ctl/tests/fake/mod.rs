//! A gate's operator API over loopback, answering as a script says.

use std::borrow::Cow;
use std::cell::RefCell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use actix_http::{HttpService, Method, Request, Response, StatusCode};
use actix_service::{IntoServiceFactory, Service, ServiceFactory, fn_service};
use bytes::Bytes;
use futures_util::StreamExt;
use ggs_model::{
    AnswerFailure, BillAnswer, BillRow, DocumentRevision, DocumentStatus, EditAnswer, EditConflict,
    EditFault, EditFaults, EditRequest, GateId, Incarnation, PeerStatus, ServiceDocument,
    StatusAnswer, VersionedDocument,
};
use serde::Serialize;
use strum::EnumString;

/// What a gate does with an edit.
#[derive(Clone, Copy, Debug, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum EditScript {
    /// Accepts it as revision 8.
    Accept,
    /// Says that it was accepted before, as revision 8.
    Repeat,
    /// Finds a fault.
    Fault,
    /// Another edit won.
    Conflict,
    /// The platform is down.
    Down,
    /// The write was not answered.
    Lost,
    /// Refuses for another reason.
    Refuse,
    /// Accepts it and garbles the answer.
    Garble,
    /// Never answers.
    Silent,
}

/// What a gate does.
#[derive(Clone, Debug)]
pub struct GateScript {
    /// Edits in order; the last stands for all later ones.
    pub edits: Cow<'static, [EditScript]>,
    /// Revision of the document, 0 for none.
    pub document: u64,
    /// Looks at the status before an accepted edit is in force.
    pub looks: usize,
    /// Whether questions other than edits are left without an answer.
    pub silent: bool,
    /// Whether the platform is down for questions.
    pub down: bool,
}

/// A gate that does as told and accepts.
pub const GOOD: GateScript = GateScript {
    edits: Cow::Borrowed(&[EditScript::Accept]),
    document: 7,
    looks: 1,
    silent: false,
    down: false,
};

/// A running gate.
#[derive(Debug)]
pub struct FakeGate {
    pub address: SocketAddr,
    script: GateScript,
    seen: RefCell<FakeSeen>,
}

/// What a gate was asked.
#[derive(Debug, Default)]
struct FakeSeen {
    edits: Vec<EditRequest>,
    looks: usize,
    peers: Vec<PeerStatus>,
}

/// The document of the fake service at a revision.
pub fn document(revision: u64) -> VersionedDocument {
    let mut document = ServiceDocument::new("ledger", "wagowa");
    document.slots = 5;
    VersionedDocument {
        revision: DocumentRevision(revision),
        document: Arc::new(document),
    }
}

impl FakeGate {
    /// Starts a gate on a free port.
    pub fn start(script: GateScript) -> Rc<Self> {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        let seen = RefCell::default();
        let gate = Rc::new(Self {
            address,
            script,
            seen,
        });
        let listener = tokio::net::TcpListener::from_std(listener).unwrap();
        actix_rt::spawn(Rc::clone(&gate).accept(listener));
        gate
    }

    /// Makes the gate hand out another one.
    pub fn add_peer(&self, host: &str, callers: SocketAddr, live: bool) {
        self.seen.borrow_mut().peers.push(PeerStatus {
            gate: gate_id(host),
            data_centre: "krakow".into(),
            callers,
            live,
            heard_ms: 5,
        });
    }

    /// Edits that the gate was sent.
    pub fn edits(&self) -> Vec<EditRequest> {
        self.seen.borrow().edits.clone()
    }

    /// Serves connections until the test ends.
    async fn accept(self: Rc<Self>, listener: tokio::net::TcpListener) {
        let routes = fn_service(move |request: Request| {
            let gate = Rc::clone(&self);
            async move { Ok::<_, Infallible>(gate.serve(request).await) }
        });
        let factory = HttpService::build().h1(routes.into_factory());
        let service = Rc::new(factory.new_service(()).await.unwrap());
        while let Ok((stream, peer)) = listener.accept().await {
            let service = Rc::clone(&service);
            actix_rt::spawn(async move { service.call((stream, Some(peer))).await });
        }
    }

    /// Answers one request.
    async fn serve(&self, mut request: Request) -> Response<Bytes> {
        let path = request.path().to_owned();
        if request.method() == Method::PUT {
            let mut payload = request.take_payload();
            let mut body = Vec::new();
            while let Some(chunk) = payload.next().await {
                body.extend_from_slice(&chunk.unwrap());
            }
            assert_eq!(path, "/v1/documents/ledger");
            return self.edit(serde_json::from_slice(&body).unwrap()).await;
        }
        if self.script.silent {
            std::future::pending::<()>().await;
        }
        if self.script.down && path != "/v1/status" {
            return failure(StatusCode::SERVICE_UNAVAILABLE, "table is down");
        }
        match path.as_str() {
            "/v1/status" => answer(StatusCode::OK, &self.status()),
            "/v1/bill" => answer(StatusCode::OK, &bill()),
            "/v1/documents/ledger" if self.script.document > 0 => {
                answer(StatusCode::OK, &document(self.script.document))
            }
            _ => failure(StatusCode::NOT_FOUND, "unknown"),
        }
    }

    /// Does with an edit as the script says.
    async fn edit(&self, edit: EditRequest) -> Response<Bytes> {
        let index = {
            let mut seen = self.seen.borrow_mut();
            seen.edits.push(edit);
            seen.edits.len() - 1
        };
        let last = self.script.edits.len() - 1;
        match self.script.edits[index.min(last)] {
            EditScript::Accept => answer(StatusCode::OK, &accepted(false)),
            EditScript::Repeat => answer(StatusCode::OK, &accepted(true)),
            EditScript::Fault => answer(StatusCode::BAD_REQUEST, &faults()),
            EditScript::Conflict => {
                let current = Some(document(9));
                answer(StatusCode::CONFLICT, &EditConflict { current })
            }
            EditScript::Down => failure(StatusCode::SERVICE_UNAVAILABLE, "table is down"),
            EditScript::Lost => failure(StatusCode::GATEWAY_TIMEOUT, "write not answered"),
            EditScript::Refuse => failure(StatusCode::UNPROCESSABLE_ENTITY, "edit id was used"),
            EditScript::Garble => answer(StatusCode::OK, &"accepted"),
            EditScript::Silent => std::future::pending().await,
        }
    }

    /// The gate's status; an edit comes into force after a number of looks.
    fn status(&self) -> StatusAnswer {
        let mut seen = self.seen.borrow_mut();
        seen.looks += 1;
        let revision = if seen.looks > self.script.looks { 8 } else { 7 };
        StatusAnswer {
            gate: gate_id("entry-a"),
            data_centre: "krakow".into(),
            callers: self.address,
            draining: false,
            fleet: DocumentRevision(revision),
            table_read_ms: Some(400),
            stale: false,
            documents: vec![DocumentStatus {
                service: "ledger".into(),
                partner: "wagowa".into(),
                revision: DocumentRevision(revision),
            }],
            peers: seen.peers.clone(),
        }
    }
}

/// A gate's identity.
fn gate_id(host: &str) -> GateId {
    GateId {
        host: host.into(),
        incarnation: Incarnation(1),
    }
}

/// The answer to an accepted edit.
fn accepted(repeated: bool) -> EditAnswer {
    EditAnswer {
        service: "ledger".into(),
        revision: DocumentRevision(8),
        repeated,
    }
}

/// A fault that only the gate finds.
fn faults() -> EditFaults {
    let fault = EditFault {
        line: 3,
        column: 5,
        field: "slots".to_owned(),
        message: "the gate says no".to_owned(),
    };
    EditFaults {
        faults: vec![fault],
    }
}

/// A bill of two windows of one service.
fn bill() -> BillAnswer {
    let row = |window_start_ms, spent| BillRow {
        partner: "wagowa".into(),
        service: "ledger".into(),
        window_start_ms,
        window_ms: 10_000,
        allowed: 40,
        granted: 30,
        spent,
    };
    BillAnswer {
        rows: vec![row(0, 11), row(10_000, 12)],
    }
}

/// A JSON answer.
fn answer(status: StatusCode, value: &impl Serialize) -> Response<Bytes> {
    Response::with_body(status, Bytes::from(serde_json::to_vec(value).unwrap()))
}

/// A failure with its message.
fn failure(status: StatusCode, message: &str) -> Response<Bytes> {
    let message = message.to_owned();
    answer(status, &AnswerFailure { message })
}
