//! Cost of one choice: time and allocations.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use divan::AllocProfiler;
use ggs_model::{Incarnation, LoadReport, Moment, RequestClass, ServerId};
use ggs_pick::{
    AttemptEnd, AttemptOutcome, ChoiceRequest, LeastInFlight, ServerChooser, ServerSpec,
    SignalChooser,
};

#[global_allocator]
static ALLOCATOR: AllocProfiler = AllocProfiler::system();

/// Servers of a service: the smallest and largest of today, and all servers of the plan in one.
const SERVERS: [u16; 4] = [5, 25, 100, 740];

fn main() {
    divan::main();
}

/// A chooser that knows `count` servers and a report of each.
fn prepared<C: ServerChooser>(mut chooser: C, count: u16, now: Moment) -> C {
    let spec = |number| ServerSpec {
        server: ServerId {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, number)),
            incarnation: Incarnation(u64::from(number)),
        },
        slots: 3,
        near: number % 3 == 0,
    };
    let specs: Vec<ServerSpec> = (0..count).map(spec).collect();
    chooser.replace_servers(&specs, now);
    for spec in specs {
        let handle = chooser
            .handle_of(spec.server)
            .expect("the server is listed");
        let report = LoadReport {
            in_flight: u32::from(spec.server.address.port() % 4),
            queued: 0,
            slots: 3,
        };
        chooser.record_report(handle, report, now);
    }
    chooser
}

/// One choice with its report and its end.
fn choose_and_finish(chooser: &mut impl ServerChooser, now: &mut Moment) {
    let request = ChoiceRequest {
        class: RequestClass::Urgent,
        tried: &[],
        deadline: *now + Duration::from_secs(1),
    };
    let handle = chooser
        .choose(&request, *now)
        .expect("a server takes the request");
    let elapsed = Duration::from_millis(8);
    *now = *now + Duration::from_micros(50);
    let report = LoadReport {
        in_flight: 2,
        queued: 0,
        slots: 3,
    };
    chooser.record_report(handle, report, *now);
    let end = AttemptEnd {
        handle,
        class: RequestClass::Urgent,
        outcome: AttemptOutcome::Answered,
        elapsed,
    };
    chooser.finish(&end, *now);
}

#[divan::bench(args = SERVERS)]
fn signals(bencher: divan::Bencher<'_, '_>, count: u16) {
    let mut now = Moment::from_millis(1_000);
    let mut chooser = prepared(SignalChooser::builder().build(), count, now);
    bencher.bench_local(|| choose_and_finish(&mut chooser, &mut now));
}

#[divan::bench(args = SERVERS)]
fn least_own(bencher: divan::Bencher<'_, '_>, count: u16) {
    let mut now = Moment::from_millis(1_000);
    let mut chooser = prepared(LeastInFlight::new(), count, now);
    bencher.bench_local(|| choose_and_finish(&mut chooser, &mut now));
}

#[divan::bench(args = SERVERS)]
fn known_servers(bencher: divan::Bencher<'_, '_>, count: u16) {
    let now = Moment::from_millis(1_000);
    bencher.bench_local(|| prepared(SignalChooser::builder().build(), count, now));
}
