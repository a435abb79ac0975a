//! Admission control: limits the requests in flight at one gate per service, class and partner.
//!
//! Four limits apply. A request that would exceed one is refused at once instead of being queued:
//!
//! - the limit that the document sets for the service and class;
//! - the gate's total capacity, of which standard requests may use 90% and exports 75%, so that
//!   urgent requests are still admitted when the gate is nearly full;
//! - 60% of the total for any one partner, when there are several, so that one partner's overload
//!   leaves the others 40% of the gate;
//! - a reserve for the urgent requests of each partner, 25% of the total divided equally among the
//!   partners, so that an overload by several partners still leaves every other partner its
//!   reserve.

use std::time::Duration;

use foldhash::HashMap;
use ggs_model::{ClassLimits, PartnerName, RequestClass, ServiceName};

/// Share of the total that any one of several partners may use, in percent.
const PARTNER_PERCENT: u32 = 60;

/// Share of the total that is reserved for the urgent requests of all partners together, in
/// percent.
const RESERVE_PERCENT: u32 = 25;

/// Shortest retry delay that a refusal suggests to the caller.
const RETRY_AFTER_BASE: Duration = Duration::from_millis(50);

/// Number of steps over which the retry delays of successive refusals are spread, so that refused
/// callers do not all retry at the same time.
const RETRY_AFTER_STEPS: u32 = 8;

/// Difference between the retry delays of two neighbouring steps.
const RETRY_AFTER_STEP: Duration = Duration::from_millis(25);

/// Capacity of one gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GateCapacity {
    /// Maximum number of requests in flight.
    pub total: u32,
    /// Number of partners whose services the gate forwards requests to.
    pub partners: u32,
}

/// A request to be admitted.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The partner that owns the service.
    pub partner: &'a PartnerName,
    /// Class of the request.
    pub class: RequestClass,
    /// The document's in-flight limits for the service at one gate.
    pub limits: &'a ClassLimits,
}

/// Accounts for one request in flight.
///
/// Not cloneable, so that [`AdmissionLimits::release`] can end each request only once.
#[derive(Debug, PartialEq, Eq)]
pub struct AdmissionPermit {
    service: ServiceName,
    partner: PartnerName,
    class: RequestClass,
}

/// The limit that a refused request would have exceeded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalCause {
    /// The document's limit for the service and class.
    ServiceClass,
    /// The partner's share of the gate.
    PartnerShare,
    /// The part of the gate's total that the class may use, or the total less the reserve for
    /// urgent requests of other partners.
    GateTotal,
}

/// The refusal of a request, which was therefore not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRefusal {
    /// The limit that the request would have exceeded.
    pub cause: RefusalCause,
    /// Time that the caller should wait before it sends the request again.
    pub retry_after: Duration,
}

/// Numbers of requests in flight of one partner.
#[derive(Clone, Copy, Debug, Default)]
struct PartnerCount {
    all: u32,
    urgent: u32,
}

/// Counts the requests in flight and refuses those that would exceed a limit.
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
/// assert!(limits.admit(&request).is_err(), "the last 10% of the capacity is for urgent requests");
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
    /// Number of refusals so far; selects the step of the next refusal's retry delay.
    refusals: u32,
    /// Requests in flight of each service, indexed by [`RequestClass`].
    services: HashMap<ServiceName, [u32; 3]>,
    partners: HashMap<PartnerName, PartnerCount>,
}

impl AdmissionLimits {
    /// Creates the limits of a gate that has no requests in flight.
    pub fn new(capacity: GateCapacity) -> Self {
        Self {
            capacity,
            in_flight: 0,
            refusals: 0,
            services: HashMap::default(),
            partners: HashMap::default(),
        }
    }

    /// Replaces the capacity; requests already in flight stay admitted even if they exceed it.
    pub const fn set_capacity(&mut self, capacity: GateCapacity) {
        self.capacity = capacity;
    }

    /// Number of requests in flight, of all services and classes.
    pub const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Admits a request and counts it as in flight.
    ///
    /// # Errors
    ///
    /// Refuses the request if it would exceed a limit; the refusal names the first such limit and
    /// suggests a retry delay.
    pub fn admit(
        &mut self,
        request: &AdmissionRequest<'_>,
    ) -> Result<AdmissionPermit, AdmissionRefusal> {
        if let Some(cause) = self.exceeded_limit(request) {
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

    /// Stops counting a request as in flight.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "consuming the permit prevents a second release"
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

    /// Returns the first limit that the request would exceed.
    fn exceeded_limit(&self, request: &AdmissionRequest<'_>) -> Option<RefusalCause> {
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
        let class_limit = percent_of(self.capacity.total, class_percent(request.class));
        let reserved = self.reserved_for_others(request.partner);
        let fits = self.in_flight < class_limit && self.in_flight + reserved < self.capacity.total;
        (!fits).then_some(RefusalCause::GateTotal)
    }

    /// Maximum number of requests in flight of one partner. A single partner has no limit but the
    /// total.
    fn partner_limit(&self) -> u32 {
        if self.capacity.partners > 1 {
            percent_of(self.capacity.total, PARTNER_PERCENT)
        } else {
            u32::MAX
        }
    }

    /// Capacity that is kept free for urgent requests of partners other than `partner`: the part of
    /// their reserves that they do not use now.
    fn reserved_for_others(&self, partner: &PartnerName) -> u32 {
        let partners = self.capacity.partners.max(1);
        let reserve = percent_of(self.capacity.total, RESERVE_PERCENT) / partners;
        let others = self.partners.iter().filter(|(name, _)| *name != partner);
        let used: u32 = others.map(|(_, count)| count.urgent.min(reserve)).sum();
        (reserve * (partners - 1)).saturating_sub(used)
    }
}

/// Share of the total up to which requests of a class are admitted, in percent.
const fn class_percent(class: RequestClass) -> u32 {
    match class {
        RequestClass::Urgent => 100,
        RequestClass::Standard => 90,
        RequestClass::Export => 75,
    }
}

/// `percent` of `total`, rounded down, but at least 1 unless `total` is 0.
fn percent_of(total: u32, percent: u32) -> u32 {
    let part = u64::from(total) * u64::from(percent) / 100;
    (part as u32).max(total.min(1))
}
