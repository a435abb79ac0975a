//! Addresses for programs that are started with a port to bind.

use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};

/// First port that is given out.
const FIRST_PORT: u32 = 10_000;

/// Ports that are given out: all below those that the system gives to outgoing connections.
const PORT_COUNT: u32 = 20_000;

/// Distance between the first ports of two processes that start one after the other.
const PROCESS_STRIDE: u32 = 97;

/// A loopback address that was free a moment ago and that no other call here returns soon.
///
/// A port that the system chooses would not do: between this call and the start of the program that
/// binds it, an outgoing connection of another program can take it. Nor does it do to listen on the
/// port to try it: a program that starts meanwhile inherits the socket and holds it until it runs.
///
/// ```
/// let (one, other) = (ggs_standin::free_address(), ggs_standin::free_address());
/// assert!(one != other && one.ip().is_loopback());
/// ```
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let start = std::process::id().wrapping_mul(PROCESS_STRIDE);
        let port = FIRST_PORT + start.wrapping_add(number) % PORT_COUNT;
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpStream::connect(address).is_err() {
            return address;
        }
    }
}
