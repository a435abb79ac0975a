//! Checks who sent a request, and tells servers the name of the caller's workspace.
//!
//! A gate checks the key of each request against its own configuration before it reads the body. It
//! passes on the name of the workspace in place of the key. A request that goes through another gate
//! carries the digest of the key, and that gate checks it against its own configuration too.

use std::net::IpAddr;
use std::rc::Rc;

use actix_http::header::{HeaderMap, HeaderValue};
use ggs_access::{AccessRefusal, KeyDigest, Workspace, find_key};
use ggs_model::ServiceName;
use ggs_route::{ActiveRoute, RouteTable};

use crate::core::EdgeCore;
use crate::detour_wire::DETOUR_HEADER;
use crate::ports::WireHeaders;

/// What a gate knows of the sender of a request.
#[derive(Clone, Debug)]
pub(crate) enum CallerAccess {
    /// Callers need no keys, and their headers are passed on as they are.
    Unchecked,
    /// The configuration has workspaces.
    Checked {
        /// The caller's workspace; `None` if it has no key and its route needs none.
        workspace: Option<Rc<Workspace>>,
        /// The caller's key, if it belongs to the workspace.
        key: Option<KeyDigest>,
    },
}

impl CallerAccess {
    /// Checks the credentials of a request on a route.
    pub(crate) fn of_caller(
        routes: &RouteTable,
        route: &ActiveRoute,
        headers: &HeaderMap,
        names: &WireHeaders,
    ) -> Result<Self, AccessRefusal> {
        let values = headers.get_all(&names.credentials);
        let key = find_key(names.key_scheme, values.map(HeaderValue::as_bytes));
        Self::of_key(routes, route, key)
    }

    /// Checks a key, or the lack of one.
    fn of_key(
        routes: &RouteTable,
        route: &ActiveRoute,
        key: Result<KeyDigest, AccessRefusal>,
    ) -> Result<Self, AccessRefusal> {
        let Some(table) = routes.access() else {
            return Ok(Self::Unchecked);
        };
        let found = key.and_then(|key| {
            let workspace = table.find(&key).ok_or(AccessRefusal::Unknown)?;
            Ok((key, Rc::clone(workspace)))
        });
        match found {
            Ok((key, workspace)) => Ok(Self::Checked {
                workspace: Some(workspace),
                key: Some(key),
            }),
            Err(_) if route.rule().is_public => Ok(Self::Checked {
                workspace: None,
                key: None,
            }),
            Err(refusal) => Err(refusal),
        }
    }

    /// The caller's workspace.
    pub(crate) fn workspace(&self) -> Option<&Rc<Workspace>> {
        match self {
            Self::Unchecked => None,
            Self::Checked { workspace, .. } => workspace.as_ref(),
        }
    }

    /// The caller's key, for another gate that checks it too.
    pub(crate) const fn key(&self) -> Option<&KeyDigest> {
        match self {
            Self::Unchecked => None,
            Self::Checked { key, .. } => key.as_ref(),
        }
    }

    /// Replaces the key in the headers of a request by the name of the workspace.
    pub(crate) fn apply_to(&self, headers: &mut HeaderMap, names: &WireHeaders) {
        let Self::Checked { workspace, .. } = self else {
            return;
        };
        headers.remove(&names.credentials);
        headers.remove(&names.workspace);
        headers.remove(DETOUR_HEADER);
        let name = workspace
            .as_ref()
            .map(|workspace| HeaderValue::from_str(&workspace.name));
        if let Some(Ok(name)) = name {
            headers.insert(names.workspace.clone(), name);
        }
    }
}

/// What another gate says of a request that it sends on.
pub(crate) struct GateClaim<'a> {
    /// Service whose server is to run it.
    pub(crate) service: &'a ServiceName,
    /// Digest of the caller's key; `None` if there is none, or from a build that sends the key itself.
    pub(crate) key: Option<KeyDigest>,
    /// Host of the other gate.
    pub(crate) sender: Option<IpAddr>,
}

impl<W, S> EdgeCore<W, S> {
    /// Checks a request of another gate against the configuration in force here. `host` and `path` are
    /// those of the request. Returns `None` if this gate must not send it: its configuration does not
    /// allow it, or the sender is not a known gate.
    pub(crate) fn check_claim(
        &self,
        routes: &RouteTable,
        claim: &GateClaim<'_>,
        (host, path): (&str, &str),
        headers: &HeaderMap,
        names: &WireHeaders,
    ) -> Option<CallerAccess> {
        if routes.access().is_none() {
            return Some(CallerAccess::Unchecked);
        }
        let sender = claim.sender?;
        if !self.contacts.borrow().knows_host(sender) {
            return None;
        }
        let route = routes.find(host, path)?;
        let mut targets = route.rule().targets.iter();
        if !targets.any(|target| target.service == *claim.service) {
            return None;
        }
        let access = match claim.key {
            Some(key) => CallerAccess::of_key(routes, route, Ok(key)),
            None => CallerAccess::of_caller(routes, route, headers, names),
        };
        access.ok()
    }
}
