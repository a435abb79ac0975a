//! Admission limits against a naive version that counts a list of the requests in flight.

use ggs_limit::{AdmissionLimits, AdmissionPermit, AdmissionRequest, GateCapacity, RefusalCause};
use ggs_model::{ClassLimits, PartnerName, RequestClass, ServiceName};
use proptest::prelude::*;

const CLASSES: [RequestClass; 3] = [
    RequestClass::Urgent,
    RequestClass::Standard,
    RequestClass::Export,
];

/// Partner and class of a request; partner `n` owns services `n` and `n + 10`.
type PlainRequest = (usize, usize, RequestClass);

/// Whether the request breaks a bound, from the list of all in flight.
fn naive_refusal(
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
    fn limits_equal_the_count_of_a_list(
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
            let expected = naive_refusal(&in_flight, request, capacity, &limits);
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

/// Urgent requests of a partner that enter after others have filled what they may.
fn urgent_room(floods: &[(&str, RequestClass)], partners: u32) -> u32 {
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
    /// Urgent requests of Harusi that still enter a gate with 1,000 places.
    room: u32,
}

#[test]
fn floods_leave_room_for_urgent_requests_of_others() {
    let cases = [
        FloodCase {
            name: "nobody floods",
            floods: &[],
            partners: 2,
            room: 600,
        },
        FloodCase {
            name: "one partner floods with urgent requests",
            floods: &[("wagowa", RequestClass::Urgent)],
            partners: 2,
            room: 400,
        },
        FloodCase {
            name: "the partner's own standard requests flood",
            floods: &[("harusi", RequestClass::Standard)],
            partners: 1,
            room: 100,
        },
        FloodCase {
            name: "two partners flood",
            floods: &[
                ("wagowa", RequestClass::Urgent),
                ("third", RequestClass::Urgent),
            ],
            partners: 3,
            room: 83,
        },
    ];
    for case in cases {
        let room = urgent_room(case.floods, case.partners);
        assert_eq!(room, case.room, "case: {}", case.name);
    }
}
