//! Cost of metrics: counting a request with and without a cached handle, and rendering `/metrics`.

use std::time::Duration;

use divan::{Bencher, black_box};
use ggs_model::RequestClass;
use ggs_observe::{GateMetrics, RequestLabels};

/// Latency recorded for each request.
const ELAPSED: Duration = Duration::from_millis(4);

/// Number of services planned for the next two years.
const SERVICE_COUNT: usize = 61;

fn main() {
    divan::main();
}

/// Counts a request through the cached handle of its service, as gates do.
#[divan::bench(sample_size = 10_000, sample_count = 200)]
fn cached_handle(bencher: Bencher<'_, '_>) {
    let metrics = GateMetrics::new();
    let service = metrics.service(&"ledger".into(), &"wagowa".into());
    bencher.bench_local(|| {
        service.observe_request(black_box(RequestClass::Urgent), "ran", ELAPSED);
    });
}

/// Counts a request with a lookup of its label set each time.
#[divan::bench(sample_size = 10_000, sample_count = 200)]
fn lookup_per_request(bencher: Bencher<'_, '_>) {
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

/// Renders `/metrics` for 61 services of `partners` partners, each with every class and verdict.
#[divan::bench(args = [2, 61])]
fn render(bencher: Bencher<'_, '_>, partners: usize) {
    let metrics = GateMetrics::new();
    for index in 0..SERVICE_COUNT {
        let partner = format!("partner-{}", index % partners);
        let service = format!("service-{index}");
        let service = metrics.service(&service.as_str().into(), &partner.as_str().into());
        for class in [
            RequestClass::Urgent,
            RequestClass::Standard,
            RequestClass::Export,
        ] {
            for verdict in ["ran", "not-run", "unknown", "cut"] {
                service.observe_request(class, verdict, ELAPSED);
            }
        }
        service.count_refusal("no-capacity");
        service.count_attempt("answered");
    }
    println!("{partners} partners: {} bytes", metrics.render().len());
    bencher.bench_local(|| black_box(&metrics).render());
}
