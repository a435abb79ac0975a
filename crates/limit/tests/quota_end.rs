//! A quota that was exceeded for some seconds: refusals end with the excess. Guards against a state that
//! keeps itself up, as refused requests count as demand.

use std::net::SocketAddr;
use std::time::Duration;

use ggs_limit::{
    HolderStanding, LedgerView, QuotaAsk, QuotaBounds, QuotaLedger, QuotaRule, QuotaStock,
    StockDecision,
};
use ggs_model::Moment;

const BOUNDS: QuotaBounds = QuotaBounds {
    window: Duration::from_secs(5),
    over: 0.1,
    slack: 20.0,
};

/// Gates that ask one holder.
const GATE_COUNT: usize = 20;

/// Time for which the workspace exceeds its quota, and by which refusals must have ended after that.
const EXCESS_TIME: Duration = Duration::from_secs(6);
const END_TIME: Duration = Duration::from_secs(2);

/// A quota, and the demand after the excess as a multiple of it.
struct EndCase {
    per_second: f64,
    demand: f64,
    /// One in this many requests is late already.
    late_divisor: usize,
}

#[test]
fn refusals_end_with_the_excess() {
    let cases = [
        EndCase {
            per_second: 330.0,
            demand: 0.6,
            late_divisor: 4,
        },
        EndCase {
            per_second: 330.0,
            demand: 0.9,
            late_divisor: 2,
        },
        EndCase {
            per_second: 20.0,
            demand: 0.6,
            late_divisor: 4,
        },
        EndCase {
            per_second: 2.0,
            demand: 0.6,
            late_divisor: 3,
        },
    ];
    for case in cases {
        let rule = QuotaRule {
            per_second: case.per_second,
            burst: case.per_second,
        };
        let mut ledger = QuotaLedger::new(Moment::ZERO);
        let mut stocks: Vec<_> = (0..GATE_COUNT).map(|_| QuotaStock::new(0.0)).collect();
        let mut now = Moment::from_millis(10_000);
        let (excess_ends, ends) = (now + EXCESS_TIME, now + EXCESS_TIME + 3 * END_TIME);
        let (mut refused_before, mut refused_after) = (0, 0);
        for index in 0.. {
            let demand = if now < excess_ends { 7.0 } else { case.demand };
            now = now + Duration::from_secs_f64(1.0 / (case.per_second * demand));
            if now >= ends {
                break;
            }
            ledger.tick(now);
            let gate = index % GATE_COUNT;
            let address: SocketAddr = ([10, 0, 0, 1], gate as u16 + 1).into();
            let stock = &mut stocks[gate];
            let is_late = index % case.late_divisor == 0;
            let mut decision = stock.take(is_late, now);
            if decision == StockDecision::Ask {
                stock.join();
                let ask = stock.start_ask(address, now);
                let view = LedgerView {
                    reach: 1.0,
                    standing: HolderStanding::Preferred,
                };
                let grant = ledger.grant("w", &rule, &BOUNDS, address, &ask, &view, now);
                stock.end_ask(&grant, now);
                decision = stock.retake(now);
                stock.leave();
            }
            let is_refused = matches!(decision, StockDecision::Refused(_));
            refused_before += usize::from(is_refused && now < excess_ends);
            refused_after += usize::from(is_refused && now >= excess_ends + END_TIME);
        }
        assert!(refused_before > 0, "{} a second", case.per_second);
        assert_eq!(refused_after, 0, "{} a second", case.per_second);
    }
}

/// A pause between two ticks of a holder, and whether it keeps its account.
struct PauseCase {
    pause_ms: u64,
    keeps_account: bool,
}

// Guards against a holder that forgets what it has granted when its host is only busy.
#[test]
fn a_late_tick_closes_no_account_and_a_suspension_closes_all() {
    let cases = [
        PauseCase {
            pause_ms: 600,
            keeps_account: true,
        },
        PauseCase {
            pause_ms: 1_500,
            keeps_account: true,
        },
        PauseCase {
            pause_ms: 2_500,
            keeps_account: false,
        },
    ];
    for case in cases {
        let mut ledger = QuotaLedger::new(Moment::ZERO);
        let mut now = Moment::ZERO;
        while now < Moment::from_millis(6_000) {
            now = now + Duration::from_millis(500);
            ledger.tick(now);
        }
        let rule = QuotaRule {
            per_second: 0.01,
            burst: 3.0,
        };
        let bounds = QuotaBounds {
            slack: 0.0,
            over: 0.0,
            ..BOUNDS
        };
        let gate = ([10, 0, 0, 1], 1).into();
        let view = LedgerView {
            reach: 1.0,
            standing: HolderStanding::Preferred,
        };
        let ask = QuotaAsk {
            waiting: 1,
            ..QuotaAsk::default()
        };
        let mut grant = |now| {
            ledger
                .grant("w", &rule, &bounds, gate, &ask, &view, now)
                .granted
        };
        assert_eq!(grant(now), 1);
        let granted = grant(now + Duration::from_millis(case.pause_ms));
        assert_eq!(granted == 1, case.keeps_account, "{} ms", case.pause_ms);
    }
}
