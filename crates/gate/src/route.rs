//! Routes the requests of the callers' port.
//!
//! Paths under `/s/` go to services; all others are answered by the gate itself for callers and
//! operators.

use std::rc::Rc;

use actix_http::{ConnectionType, Method, Request, Response, StatusCode};
use ggs_model::{HeaderNames, Moment, ServiceName};

use crate::answer::{self, CallerFault};
use crate::body::GateBody;
use crate::core::GateCore;
use crate::{edits, entries, forward, key_issue, probes, status};

/// Answers one request of a caller or an operator whose head had arrived at `arrived_at`. Each answer names the gate's host, and closes
/// its connection if the gate is draining.
pub(crate) async fn serve(
    core: &Rc<GateCore>,
    request: Request,
    arrived_at: Moment,
) -> Response<GateBody> {
    let mut response = dispatch(core, request, arrived_at).await;
    answer::set_header(&mut response, HeaderNames::GATE, core.id.host.as_str());
    if core.is_draining() {
        response
            .head_mut()
            .set_connection_type(ConnectionType::Close);
    }
    response
}

/// Calls the handler for the path and method of a request.
async fn dispatch(core: &Rc<GateCore>, request: Request, arrived_at: Moment) -> Response<GateBody> {
    let uri = request.uri().clone();
    let path = uri.path();
    let is_get = request.method() == Method::GET;
    let is_put = request.method() == Method::PUT;
    let is_post = request.method() == Method::POST;
    if let Some(rest) = path.strip_prefix("/s/") {
        let name = rest.split('/').next().unwrap_or(rest);
        let path_and_query = uri.path_and_query().map_or(path, |target| target.as_str());
        let target = path_and_query.get("/s/".len() + name.len()..).unwrap_or("");
        let target = if target.starts_with('/') {
            target.to_owned()
        } else {
            format!("/{target}")
        };
        return forward::serve(core, name, &target, request, arrived_at).await;
    }
    match path.split('/').skip(1).collect::<Vec<_>>().as_slice() {
        ["v1", "entries", service] if is_get => entries::serve(core, service),
        ["v1", "documents", service] if is_get => edits::show(core, service),
        ["v1", "documents", service] if is_put => {
            let service = ServiceName::new(service);
            edits::accept(core, service, request).await
        }
        ["v1", "keys", service] if is_post => key_issue::serve(core, service).await,
        ["v1", "status"] if is_get => status::serve(core),
        ["v1", "bill"] if is_get => probes::serve_bill(core).await,
        ["metrics"] if is_get => metrics(core),
        ["v1", "entries" | "documents" | "keys", _] | ["v1", "status" | "bill"] | ["metrics"] => {
            answer::fault(CallerFault::BadMethod)
        }
        _ => answer::fault(CallerFault::UnknownPath),
    }
}

/// Serves `GET /metrics`.
fn metrics(core: &GateCore) -> Response<GateBody> {
    let text = core.metrics.render();
    let mut response = Response::with_body(StatusCode::OK, GateBody::whole(text.into()));
    let content_type = "application/openmetrics-text; version=1.0.0; charset=utf-8";
    answer::set_header(&mut response, "content-type", content_type);
    response
}
