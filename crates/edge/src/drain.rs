//! The end of a gate.
//!
//! Callers keep entry answers for seconds, so a gate that stops goes on to accept them for a part of
//! its grace while no new answer names it. Then it finishes the requests that it has read.

use std::rc::Rc;
use std::time::Duration;

use ggs_observe::LogEvent;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::core::EdgeCore;
use crate::gates;
use crate::listen::CallerConnections;
use crate::ports::{EdgeWire, FleetStore};

/// Part of the grace for which callers are still accepted, in percent.
const ACCEPT_PERCENT: u32 = 45;

/// Time before the end of the grace at which a gate ends whatever is left.
const END_MARGIN: Duration = Duration::from_millis(250);

/// Longest time to remove the gate's row from the store.
const REMOVE_TIME: Duration = Duration::from_millis(1_500);

/// Drains a gate and returns once it may end.
pub(crate) async fn drain<W, S>(
    core: &Rc<EdgeCore<W, S>>,
    socket: &UdpSocket,
    connections: &CallerConnections,
    stop: &watch::Sender<bool>,
) where
    W: EdgeWire,
    S: FleetStore,
{
    core.set_draining();
    let message = "gate drains";
    core.log.emit(LogEvent::GateDraining, message, slog::o!());
    let grace = core.settings().bounds.stop_grace;
    let accept = grace * ACCEPT_PERCENT / 100;
    gates::say_goodbye(core, socket).await;
    let host = core.settings().host.clone();
    let removing = timeout(REMOVE_TIME.min(accept), core.store.remove_gate(&host));
    let ((), removed) = tokio::join!(sleep(accept), removing);
    if !matches!(removed, Ok(Ok(()))) {
        let pairs = slog::o!("table" => "gates", "cause" => "own row was not removed");
        let message = "store cannot be written";
        core.log.emit(LogEvent::PlatformFailed, message, pairs);
    }
    // Without receivers nobody is left to be told.
    let _unheard = stop.send(true);
    let rest = grace.saturating_sub(accept + END_MARGIN);
    let finished = timeout(rest, connections.all_closed()).await.is_ok();
    let pairs = slog::o!("finished" => finished);
    core.log.emit(LogEvent::GateStopped, "gate ends", pairs);
}
