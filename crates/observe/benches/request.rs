//! Cost of counting one request: with the handle kept for the service, and with a look-up each time.

use std::time::Duration;

use divan::{Bencher, black_box};
use ggs_model::RequestClass;
use ggs_observe::{GateMetrics, RequestLabels};

/// Time that each counted request took.
const ELAPSED: Duration = Duration::from_millis(4);

fn main() {
    divan::main();
}

/// As gates count.
#[divan::bench(sample_size = 10_000, sample_count = 200)]
fn kept_handle(bencher: Bencher<'_, '_>) {
    let metrics = GateMetrics::new();
    let service = metrics.service(&"ledger".into(), &"wagowa".into());
    bencher.bench_local(|| {
        service.observe_request(black_box(RequestClass::Urgent), "ran", ELAPSED);
    });
}

/// A look-up of the label set for each request.
#[divan::bench(sample_size = 10_000, sample_count = 200)]
fn look_up(bencher: Bencher<'_, '_>) {
    let metrics = GateMetrics::new();
    bencher.bench_local(|| {
        let labels = RequestLabels {
            partner: black_box("wagowa").to_owned(),
            class: RequestClass::Urgent.into(),
            verdict: "ran",
        };
        let histogram = metrics.latency.get_or_create(&labels);
        histogram.observe(ELAPSED.as_secs_f64());
    });
}
