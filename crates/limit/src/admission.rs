//! Requests in flight at one gate, bounded per service, class and partner.
//!
//! Four bounds apply, and a request that breaks one is refused at once:
//!
//! - the document's bound for its service and class;
//! - the gate's total, of which standard requests may fill 90% and exports 75%, so that urgent ones
//!   find room when the gate is nearly full;
//! - 60% of the total for any one partner, when there are several: one partner's flood leaves the
//!   others 40% of the gate;
//! - a reserve for the urgent requests of each partner, 25% of the total divided among the partners:
//!   floods of several partners together leave each other partner its reserve.

use std::time::Duration;

use foldhash::HashMap;
use ggs_model::{ClassLimits, PartnerName, RequestClass, ServiceName};

/// Share of the total that one of several partners may fill, in percent.
const PARTNER_PERCENT: u32 = 60;

/// Share of the total that is reserved for urgent requests of all partners, in percent.
const RESERVE_PERCENT: u32 = 25;

/// Shortest time after which a refused request is worth sending again.
const RETRY_AFTER_BASE: Duration = Duration::from_millis(50);

/// Steps over which the times of successive refusals are spread, so that callers do not return
/// together.
const RETRY_AFTER_STEPS: u32 = 8;

/// Length of one such step.
const RETRY_AFTER_STEP: Duration = Duration::from_millis(25);

/// What a gate can hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GateCapacity {
    /// Requests in flight in all.
    pub total: u32,
    /// Partners whose services the gate relays for.
    pub partners: u32,
}

/// A request that asks to enter.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The partner that owns the service.
    pub partner: &'a PartnerName,
    /// Class of the request.
    pub class: RequestClass,
    /// The document's bounds for the service at one gate.
    pub limits: &'a ClassLimits,
}

/// A request in flight; not cloneable, and handed back with [`AdmissionLimits::release`].
#[derive(Debug, PartialEq, Eq)]
pub struct AdmissionPermit {
    service: ServiceName,
    partner: PartnerName,
    class: RequestClass,
}

/// The bound that a refused request would have broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalCause {
    /// The document's bound for the service and class.
    ServiceClass,
    /// The partner's share of the gate.
    PartnerShare,
    /// The gate's total for the class, less what is reserved for urgent requests of other partners.
    GateTotal,
}

/// A refusal; the request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRefusal {
    /// The bound.
    pub cause: RefusalCause,
    /// Time after which the request is worth sending again.
    pub retry_after: Duration,
}

/// Requests in flight of one partner.
#[derive(Clone, Copy, Debug, Default)]
struct PartnerCount {
    all: u32,
    urgent: u32,
}

/// Counts requests in flight and refuses those that break a bound.
///
/// ```
/// use ggs_limit::{AdmissionLimits, AdmissionRequest, GateCapacity};
/// use ggs_model::{RequestClass, ServiceDocument};
///
/// let document = ServiceDocument::new("roster", "wagowa");
/// let mut limits = AdmissionLimits::new(GateCapacity { total: 10, partners: 1 });
/// let request = AdmissionRequest {
///     service: &document.service,
///     partner: &document.partner,
///     class: RequestClass::Standard,
///     limits: &document.in_flight,
/// };
/// let permits: Vec<_> = (0..9).map(|_| limits.admit(&request).unwrap()).collect();
/// assert!(limits.admit(&request).is_err(), "the last place is for an urgent request");
/// let urgent = AdmissionRequest { class: RequestClass::Urgent, ..request };
/// limits.admit(&urgent).unwrap();
/// for permit in permits {
///     limits.release(permit);
/// }
/// assert_eq!(limits.in_flight(), 1);
/// ```
#[derive(Clone, Debug)]
pub struct AdmissionLimits {
    capacity: GateCapacity,
    in_flight: u32,
    refusals: u32,
    /// Requests in flight of each service, in the order of the classes.
    services: HashMap<ServiceName, [u32; 3]>,
    partners: HashMap<PartnerName, PartnerCount>,
}

impl AdmissionLimits {
    /// Limits of a gate with nothing in flight.
    pub fn new(capacity: GateCapacity) -> Self {
        Self {
            capacity,
            in_flight: 0,
            refusals: 0,
            services: HashMap::default(),
            partners: HashMap::default(),
        }
    }

    /// Takes a new capacity; requests in flight stay.
    pub const fn set_capacity(&mut self, capacity: GateCapacity) {
        self.capacity = capacity;
    }

    /// Requests in flight.
    pub const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Counts a request as in flight.
    ///
    /// # Errors
    ///
    /// Names the bound that the request would break.
    pub fn admit(
        &mut self,
        request: &AdmissionRequest<'_>,
    ) -> Result<AdmissionPermit, AdmissionRefusal> {
        if let Some(cause) = self.broken_bound(request) {
            self.refusals = self.refusals.wrapping_add(1);
            let step = self.refusals % RETRY_AFTER_STEPS;
            return Err(AdmissionRefusal {
                cause,
                retry_after: RETRY_AFTER_BASE + RETRY_AFTER_STEP * step,
            });
        }
        let permit = AdmissionPermit {
            service: request.service.clone(),
            partner: request.partner.clone(),
            class: request.class,
        };
        self.in_flight += 1;
        let service = self.services.entry(permit.service.clone()).or_default();
        service[permit.class as usize] += 1;
        let partner = self.partners.entry(permit.partner.clone()).or_default();
        partner.all += 1;
        partner.urgent += u32::from(permit.class == RequestClass::Urgent);
        Ok(permit)
    }

    /// Counts a request as ended.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "a permit is used up by its end"
    )]
    pub fn release(&mut self, permit: AdmissionPermit) {
        self.in_flight -= 1;
        if let Some(service) = self.services.get_mut(&permit.service) {
            service[permit.class as usize] -= 1;
        }
        if let Some(partner) = self.partners.get_mut(&permit.partner) {
            partner.all -= 1;
            partner.urgent -= u32::from(permit.class == RequestClass::Urgent);
        }
    }

    /// The bound that one more request would break.
    fn broken_bound(&self, request: &AdmissionRequest<'_>) -> Option<RefusalCause> {
        let counts = self.services.get(request.service);
        let count = counts.map_or(0, |counts| counts[request.class as usize]);
        if u64::from(count) >= request.limits.of(request.class) {
            return Some(RefusalCause::ServiceClass);
        }
        let partner = self.partners.get(request.partner);
        let partner = partner.copied().unwrap_or_default();
        if partner.all >= self.partner_limit() {
            return Some(RefusalCause::PartnerShare);
        }
        let room = share(self.capacity.total, class_percent(request.class));
        let reserved = self.reserved_for_others(request.partner);
        let fits = self.in_flight < room && self.in_flight + reserved < self.capacity.total;
        (!fits).then_some(RefusalCause::GateTotal)
    }

    /// Requests that one partner may have in flight; a partner alone is bounded by the total only.
    fn partner_limit(&self) -> u32 {
        if self.capacity.partners > 1 {
            share(self.capacity.total, PARTNER_PERCENT)
        } else {
            u32::MAX
        }
    }

    /// Places kept free for urgent requests of partners other than `partner`.
    fn reserved_for_others(&self, partner: &PartnerName) -> u32 {
        let partners = self.capacity.partners.max(1);
        let reserve = share(self.capacity.total, RESERVE_PERCENT) / partners;
        let others = self.partners.iter().filter(|(name, _)| *name != partner);
        let used: u32 = others.map(|(_, count)| count.urgent.min(reserve)).sum();
        (reserve * (partners - 1)).saturating_sub(used)
    }
}

/// Share of the total that requests of a class may fill, in percent.
const fn class_percent(class: RequestClass) -> u32 {
    match class {
        RequestClass::Urgent => 100,
        RequestClass::Standard => 90,
        RequestClass::Export => 75,
    }
}

/// `percent` of `total`, rounded down, and at least one place of a gate that has any.
fn share(total: u32, percent: u32) -> u32 {
    let part = u64::from(total) * u64::from(percent) / 100;
    (part as u32).max(total.min(1))
}
