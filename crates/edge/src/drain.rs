//! Drain of a gate that was told to stop.
//!
//! Callers keep entry answers for seconds. So a draining gate is no longer named in new answers,
//! but keeps accepting callers for a part of its grace period. Then it finishes the requests that
//! it has read, and ends before the platform kills it.

use std::rc::Rc;
use std::time::Duration;

use ggs_listen::OpenConnections;
use ggs_observe::LogEvent;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::core::EdgeCore;
use crate::gates;
use crate::ports::{EdgeWire, FleetStore};

/// Part of the grace period in which callers are still accepted, in percent.
const ACCEPT_PERCENT: u32 = 45;

/// Time before the end of the grace period at which a gate ends, even with requests in flight.
const STOP_MARGIN: Duration = Duration::from_millis(250);

/// Longest time to remove the gate's row from the store.
const REMOVE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The listeners of a gate that drains, and what stops them.
pub(crate) struct DrainListeners<'a> {
    /// Connections of callers.
    pub(crate) connections: &'a OpenConnections,
    /// Stops the listener for callers' requests.
    pub(crate) stop: &'a watch::Sender<bool>,
    /// Connections of other gates.
    pub(crate) gate_connections: &'a OpenConnections,
    /// Stops the other listeners.
    pub(crate) finish: &'a watch::Sender<bool>,
}

/// Drains a gate, and returns once its requests are finished or the grace period is almost over.
pub(crate) async fn drain<W, S>(
    core: &Rc<EdgeCore<W, S>>,
    socket: &UdpSocket,
    listeners: &DrainListeners<'_>,
) where
    W: EdgeWire,
    S: FleetStore,
{
    core.set_draining();
    let message = "gate starts to drain";
    core.log.emit(LogEvent::GateDraining, message, slog::o!());
    let grace = core.settings().bounds.stop_grace;
    let accept = grace * ACCEPT_PERCENT / 100;
    gates::send_goodbye(core, socket).await;
    let host = core.settings().host.clone();
    let removing = async {
        if !core.registered.get() {
            return true;
        }
        let removed = timeout(REMOVE_TIMEOUT.min(accept), core.store.remove_gate(&host)).await;
        matches!(removed, Ok(Ok(())))
    };
    let ((), removed) = tokio::join!(sleep(accept), removing);
    if !removed {
        let pairs =
            slog::o!("table" => "gates", "cause" => "removal of this gate's row was not confirmed");
        let message = "write to the store failed";
        core.log.emit(LogEvent::PlatformFailed, message, pairs);
    }
    // The sends fail only if no listener is left to stop.
    let _no_receivers = listeners.stop.send(true);
    let rest = grace.saturating_sub(accept + STOP_MARGIN);
    let finished = timeout(rest, async {
        listeners.connections.all_closed().await;
        // Requests of other gates are declined since the drain began, so few are left.
        let _no_receivers = listeners.finish.send(true);
        listeners.gate_connections.all_closed().await;
    });
    let finished = finished.await.is_ok();
    let _no_receivers = listeners.finish.send(true);
    let pairs = slog::o!("finished" => finished);
    core.log.emit(LogEvent::GateStopped, "gate stops", pairs);
}
