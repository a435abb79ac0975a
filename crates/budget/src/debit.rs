//! Computes a debit: how many probes a gate gets for a window, and the row that records it.
//!
//! Each gate applies these rules to the row that it has read, and its write takes effect only if
//! the row has not changed meanwhile. The rules therefore see all grants of both windows, and the
//! sum of the grants stays within the budget of the service.

use ggs_model::{GateId, MeasuringBudget, PartnerName};

use crate::{BillArchive, BillDay, BudgetRow, GateGrant, ProbeWindow};

/// What a gate spent of a grant whose window has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrantSettlement {
    /// The window that has ended.
    pub window: ProbeWindow,
    /// Probes that the gate sent in it.
    pub spent: u32,
}

/// A gate's request to debit probes for the current window of its wall clock.
#[derive(Clone, Copy, Debug)]
pub struct DebitRequest<'a> {
    /// The gate, with its incarnation.
    pub gate: &'a GateId,
    /// The window to debit for.
    pub window: ProbeWindow,
    /// The probe budget in the document row.
    pub budget: MeasuringBudget,
    /// The partner that owns the document.
    pub partner: &'a PartnerName,
    /// What the gate spent of its previous grant, if not yet recorded in the row.
    pub settled: Option<GrantSettlement>,
}

/// A debit, which takes effect once its row is written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DebitPlan {
    /// The new row.
    pub row: BudgetRow,
    /// Probes that the gate may send in the window.
    pub granted: u32,
    /// The bill of a day that has ended, to be written in the same transaction. `None` if no day
    /// has ended since the last debit.
    pub archive: Option<BillArchive>,
}

/// Why a gate cannot debit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DebitRefusal {
    /// Another gate has debited for a later window, so this gate's wall clock is behind.
    ClockBehind,
    /// The window length has changed, and grants for the old length may still be in use.
    LengthChanged,
    /// This gate has already debited for the window; the answer to its write was lost.
    AlreadyDebited {
        /// Probes that the gate may send.
        granted: u32,
    },
}

/// Plans the debit of a gate's share of the allowance.
///
/// Over the requested window and the one before it, the sum over all gates of the larger of a
/// gate's two grants stays within the allowance. If a lowered allowance is already exceeded, the
/// sum does not grow. A gate's share is the allowance divided by the number of gates in the row. A
/// gate that is not in the row is added even if nothing is left for it, so that the other gates
/// leave it a share in the next window.
///
/// # Errors
///
/// Returns the reason if the gate cannot debit.
pub fn plan_debit(
    row: Option<&BudgetRow>,
    request: &DebitRequest<'_>,
) -> Result<DebitPlan, DebitRefusal> {
    let mut next = advance_windows(row, request)?;
    if let Some(grant) = find_grant(&next.grants, request.gate) {
        let granted = grant.count;
        return Err(DebitRefusal::AlreadyDebited { granted });
    }
    let archive = bill_allowance(&mut next, row, request);
    settle_grant(&mut next, request);
    let granted = grant_size(&next, request);
    next.grants.push(GateGrant {
        gate: request.gate.clone(),
        partner: request.partner.clone(),
        count: granted,
        returned: None,
    });
    day_entry(&mut next.days, request).granted += u64::from(granted);
    Ok(DebitPlan {
        row: next,
        granted,
        archive,
    })
}

/// Returns the row with the requested window as its latest one.
fn advance_windows(
    row: Option<&BudgetRow>,
    request: &DebitRequest<'_>,
) -> Result<BudgetRow, DebitRefusal> {
    let window = request.window;
    let mut next = BudgetRow {
        window_ms: window.length_ms,
        window: window.index,
        grants: Vec::new(),
        previous: Vec::new(),
        days: row.map_or_else(Vec::new, |row| row.days.clone()),
    };
    let Some(row) = row else {
        return Ok(next);
    };
    if row.window_ms != window.length_ms {
        let old_window = ProbeWindow {
            index: row.window,
            length_ms: row.window_ms,
        };
        // After a pause of one new window length, no interval of that length contains probes of
        // both the old and the new windows.
        let resume_ms = old_window.end().0.saturating_add(window.length_ms);
        let paused = window.start().0 < resume_ms;
        return if paused {
            Err(DebitRefusal::LengthChanged)
        } else {
            Ok(next)
        };
    }
    if row.window > window.index {
        return Err(DebitRefusal::ClockBehind);
    }
    if row.window == window.index {
        next.grants.clone_from(&row.grants);
        next.previous.clone_from(&row.previous);
    } else if row.window + 1 == window.index {
        next.previous.clone_from(&row.grants);
    }
    Ok(next)
}

/// Number of probes that the gate is granted.
fn grant_size(row: &BudgetRow, request: &DebitRequest<'_>) -> u32 {
    let allowed = request.budget.probes;
    let gate = request.gate;
    let previous_of = |gate: &GateId| {
        let grant = find_grant(&row.previous, gate);
        grant.map_or(0, GateGrant::max_spent)
    };
    let previous_total: u32 = row.previous.iter().map(GateGrant::max_spent).sum();
    let own_previous = previous_of(gate);
    let others = row.grants.iter().filter(|grant| grant.gate != *gate);
    let others_current: u32 = others.clone().map(|grant| grant.count).sum();
    let increases = others.map(|grant| grant.count.saturating_sub(previous_of(&grant.gate)));
    // The sum over the other gates of the larger of a gate's two grants.
    let others_larger_total = previous_total - own_previous + increases.sum::<u32>();
    let available = allowed
        .max(previous_total)
        .saturating_sub(others_larger_total);
    let new_gates = row.grants.iter().map(|grant| &grant.gate);
    let new_gates = new_gates.chain([gate]);
    let new_gates = new_gates.filter(|gate| find_grant(&row.previous, gate).is_none());
    let gates = row.previous.len() + new_gates.count();
    let share = (allowed / gates as u32).max(1);
    // A grant no larger than the gate's previous one does not increase the sum.
    share
        .min(available.max(own_previous))
        .min(allowed.saturating_sub(others_current))
}

/// Credits the bill with the probes that the gate did not send in the previous window.
fn settle_grant(row: &mut BudgetRow, request: &DebitRequest<'_>) {
    let Some(settled) = request.settled else {
        return;
    };
    // The row holds grants of the previous window only, and the bill of an ended day has left it.
    let is_correctable = settled.window.length_ms == row.window_ms
        && settled.window.index + 1 == row.window
        && settled.window.day() == request.window.day();
    let mut grants = row.previous.iter_mut();
    let grant = grants.find(|grant| grant.gate == *request.gate && grant.returned.is_none());
    let Some(grant) = grant.filter(|_| is_correctable) else {
        return;
    };
    let unsent = grant.count.saturating_sub(settled.spent);
    let partner = grant.partner.clone();
    let day = row.days.iter_mut().find(|day| day.partner == partner);
    // Without a bill entry to correct, the grant stays billed as spent.
    if let Some(day) = day {
        grant.returned = Some(unsent);
        day.returned += u64::from(unsent);
    }
}

/// Adds the probes that the document allowed since the last debit to the bill. If a day has ended,
/// removes its bill from the row and returns it. A day without a debit has no bill.
fn bill_allowance(
    next: &mut BudgetRow,
    row: Option<&BudgetRow>,
    request: &DebitRequest<'_>,
) -> Option<BillArchive> {
    let window = request.window;
    let probes = u64::from(request.budget.probes);
    let first_today = ProbeWindow::first_of_day(window.day(), window.length_ms);
    let same_length = row.filter(|row| row.window_ms == window.length_ms);
    // Without a row of this window length, only the requested window is billed.
    let last_window = same_length.map_or(window.index.saturating_sub(1), |row| row.window);
    let mut archive = None;
    if let Some(ended_day) = next.days.first().map(|entry| entry.day)
        && ended_day != window.day()
    {
        let mut days = std::mem::take(&mut next.days);
        let next_day_first = ProbeWindow::first_of_day(ended_day + 1, window.length_ms);
        let remaining = next_day_first.saturating_sub(last_window + 1);
        let owner = days.iter_mut().find(|day| day.partner == *request.partner);
        if let Some(owner) = owner {
            owner.asked += probes * remaining;
        }
        archive = Some(BillArchive { days });
    }
    let windows = window.index - last_window.max(first_today.saturating_sub(1));
    day_entry(&mut next.days, request).asked += probes * windows;
    archive
}

/// The bill entry for the request's partner; added for the request's day if there is none.
fn day_entry<'a>(days: &'a mut Vec<BillDay>, request: &DebitRequest<'_>) -> &'a mut BillDay {
    let at = days.iter().position(|day| day.partner == *request.partner);
    let at = at.unwrap_or_else(|| {
        days.push(BillDay {
            day: request.window.day(),
            partner: request.partner.clone(),
            asked: 0,
            granted: 0,
            returned: 0,
        });
        days.len() - 1
    });
    &mut days[at]
}

/// The grant of `gate`, if it has one.
fn find_grant<'a>(grants: &'a [GateGrant], gate: &GateId) -> Option<&'a GateGrant> {
    grants.iter().find(|grant| grant.gate == *gate)
}
