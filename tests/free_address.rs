//! Addresses for programs stay free while other programs are started.

use std::net::TcpListener;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use ggs_standin::free_address;

/// Threads that start programs.
const STARTERS: usize = 4;

/// Addresses that are asked for; with sockets inherited by programs that start, some fail to bind.
const ADDRESSES: usize = 15_000;

/// Found by a whole `.ci/run`: a program that starts holds every open socket of its parent until it
/// runs, so an address that was tried by listening on it could not be bound a moment later.
#[test]
fn an_address_can_be_bound_while_other_programs_start() {
    let done = AtomicBool::new(false);
    let taken = thread::scope(|scope| {
        for _ in 0..STARTERS {
            scope.spawn(|| {
                while !done.load(Ordering::Relaxed) {
                    let mut command = Command::new(env!("CARGO_BIN_EXE_ggs-standin"));
                    command.arg("--help").stdout(Stdio::null());
                    assert!(command.status().expect("program starts").success());
                }
            });
        }
        let addresses = (0..ADDRESSES).map(|_| free_address());
        let taken = addresses.filter(|address| TcpListener::bind(address).is_err());
        let taken: Vec<_> = taken.collect();
        done.store(true, Ordering::Relaxed);
        taken
    });
    assert!(taken.is_empty(), "{} taken: {taken:?}", taken.len());
}
