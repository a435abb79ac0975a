//! Compares the admission limits with a naive model that counts a list of the requests in flight.
//!
//! Guards against counters that drift from the requests in flight, and against an overload by one
//! or several partners that leaves no capacity for the urgent requests of another.

use ggs_limit::{AdmissionLimits, AdmissionPermit, AdmissionRequest, GateCapacity, RefusalCause};
use ggs_model::{ClassLimits, PartnerName, RequestClass, ServiceName};
use proptest::prelude::*;

const CLASSES: [RequestClass; 3] = [
    RequestClass::Urgent,
    RequestClass::Standard,
    RequestClass::Export,
];

/// Partner, service and class of a request; partner `n` owns services `n` and `n + 10`.
type PlainRequest = (usize, usize, RequestClass);

/// Returns the first limit that the request would exceed, from the list of all requests in flight.
fn expected_refusal(
    in_flight: &[PlainRequest],
    request: PlainRequest,
    capacity: GateCapacity,
    limits: &ClassLimits,
) -> Option<RefusalCause> {
    let (partner, service, class) = request;
    let total = capacity.total as usize;
    let count = |keep: &dyn Fn(&&PlainRequest) -> bool| in_flight.iter().filter(keep).count();
    if count(&|other| other.1 == service && other.2 == class) as u64 >= limits.of(class) {
        return Some(RefusalCause::ServiceClass);
    }
    if capacity.partners > 1 && count(&|other| other.0 == partner) >= total * 60 / 100 {
        return Some(RefusalCause::PartnerShare);
    }
    let reserve = total / 4 / capacity.partners as usize;
    let urgent = |name| count(&|other| other.0 == name && other.2 == RequestClass::Urgent);
    let others = (0..capacity.partners as usize).filter(|name| *name != partner);
    let unused: usize = others
        .map(|name| reserve.saturating_sub(urgent(name)))
        .sum();
    let percent = [100, 90, 75][class as usize];
    let fits = in_flight.len() < total * percent / 100 && in_flight.len() + unused < total;
    (!fits).then_some(RefusalCause::GateTotal)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(500))]

    #[test]
    fn limits_match_a_count_of_the_requests_in_flight(
        total in 10_u32..60, partners in 1_u32..4,
        bounds in (1_u64..40, 1_u64..40, 1_u64..40),
        steps in prop::collection::vec((0_usize..4, 0_usize..2, 0_usize..3, 0_u8..3, any::<prop::sample::Index>()), 1..200),
    ) {
        let capacity = GateCapacity { total, partners };
        let limits = ClassLimits { urgent: bounds.0, standard: bounds.1, export: bounds.2 };
        let mut admission = AdmissionLimits::new(capacity);
        let mut in_flight: Vec<PlainRequest> = Vec::new();
        let mut permits: Vec<AdmissionPermit> = Vec::new();
        for (partner, other, class, ends, at) in steps {
            if ends == 0 && !permits.is_empty() {
                let at = at.index(permits.len());
                in_flight.swap_remove(at);
                admission.release(permits.swap_remove(at));
                continue;
            }
            let partner = partner % partners as usize;
            let request = (partner, partner + 10 * other, CLASSES[class]);
            let expected = expected_refusal(&in_flight, request, capacity, &limits);
            let found = admission.admit(&AdmissionRequest {
                service: &ServiceName::new(&request.1.to_string()),
                partner: &PartnerName::new(&partner.to_string()),
                class: request.2,
                limits: &limits,
            });
            match found {
                Ok(permit) => {
                    prop_assert_eq!(expected, None);
                    in_flight.push(request);
                    permits.push(permit);
                }
                Err(refusal) => prop_assert_eq!(Some(refusal.cause), expected),
            }
            prop_assert_eq!(admission.in_flight() as usize, in_flight.len());
        }
    }
}

/// Number of urgent requests of partner `harusi` that a gate with a capacity of 1,000 still admits
/// after each of `floods` has used all the capacity that it may.
fn admitted_urgent(floods: &[(&str, RequestClass)], partners: u32) -> u32 {
    let limits = ClassLimits {
        urgent: 10_000,
        standard: 10_000,
        export: 10_000,
    };
    let total = 1_000;
    let mut admission = AdmissionLimits::new(GateCapacity { total, partners });
    let mut fill = |partner: &str, class| {
        let request = AdmissionRequest {
            service: &ServiceName::new(partner),
            partner: &PartnerName::new(partner),
            class,
            limits: &limits,
        };
        (0..2 * total)
            .take_while(|_| admission.admit(&request).is_ok())
            .count() as u32
    };
    for (partner, class) in floods {
        fill(partner, *class);
    }
    fill("harusi", RequestClass::Urgent)
}

struct FloodCase {
    name: &'static str,
    floods: &'static [(&'static str, RequestClass)],
    partners: u32,
    /// Urgent requests of Harusi that a gate with a capacity of 1,000 still admits.
    admitted: u32,
}

#[test]
fn floods_leave_capacity_for_urgent_requests_of_other_partners() {
    let cases = [
        FloodCase {
            name: "no partner floods the gate",
            floods: &[],
            partners: 2,
            admitted: 600,
        },
        FloodCase {
            name: "one partner floods with urgent requests",
            floods: &[("wagowa", RequestClass::Urgent)],
            partners: 2,
            admitted: 400,
        },
        FloodCase {
            name: "the partner's own standard requests flood",
            floods: &[("harusi", RequestClass::Standard)],
            partners: 1,
            admitted: 100,
        },
        FloodCase {
            name: "two partners flood with urgent requests",
            floods: &[
                ("wagowa", RequestClass::Urgent),
                ("third", RequestClass::Urgent),
            ],
            partners: 3,
            admitted: 83,
        },
    ];
    for case in cases {
        let admitted = admitted_urgent(case.floods, case.partners);
        assert_eq!(admitted, case.admitted, "case: {}", case.name);
    }
}
