//! The arithmetic of a debit.

use ggs_model::{GateId, MeasuringBudget, PartnerName};

use crate::{BillArchive, BillDay, BudgetRow, GateGrant, ProbeWindow};

/// What a gate spent of a grant whose window has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrantSettlement {
    /// The window.
    pub window: ProbeWindow,
    /// Probes that the gate sent.
    pub spent: u32,
}

/// A gate's wish to debit probes for the window that its clock shows.
#[derive(Clone, Copy, Debug)]
pub struct DebitRequest<'a> {
    /// The run of the gate.
    pub gate: &'a GateId,
    /// The window.
    pub window: ProbeWindow,
    /// What the document row allows.
    pub budget: MeasuringBudget,
    /// The partner that owns the document.
    pub partner: &'a PartnerName,
    /// What the gate spent of its grant for the window before.
    pub settled: Option<GrantSettlement>,
}

/// A debit that takes effect once its row is written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DebitPlan {
    /// The new row.
    pub row: BudgetRow,
    /// Probes that the gate may send in the window.
    pub granted: u32,
    /// The bill of a day that has ended, to be written in the same transaction.
    pub archive: Option<BillArchive>,
}

/// Why a gate cannot debit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DebitRefusal {
    /// Another gate has debited for a later window: this gate's wall clock is behind.
    ClockBehind,
    /// The length of the window has changed, and grants for the former length may still be spent.
    LengthChanged,
    /// This gate has debited for the window, although the answer to its write was lost.
    AlreadyDebited {
        /// Probes that it may send.
        granted: u32,
    },
}

/// Debits a gate's share of the allowance, or says why not.
///
/// For the window and the one before it, the sum over gates of the larger of their two grants stays
/// within the allowance, or does not grow when a lower allowance finds it above. A gate's share is
/// the allowance divided among the gates that the row names; a gate that the row does not name is
/// entered even if nothing is left for it, so that others leave it a share in the next window.
///
/// # Errors
///
/// Says why nothing can be debited.
pub fn plan_debit(
    row: Option<&BudgetRow>,
    request: &DebitRequest<'_>,
) -> Result<DebitPlan, DebitRefusal> {
    let mut next = shift_windows(row, request)?;
    if let Some(grant) = find_grant(&next.grants, request.gate) {
        let granted = grant.count;
        return Err(DebitRefusal::AlreadyDebited { granted });
    }
    let archive = add_asked(&mut next, row, request);
    settle_grant(&mut next, request);
    let granted = share_of(&next, request);
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

/// The row with the request's window as its latest.
fn shift_windows(
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
        let former = ProbeWindow {
            index: row.window,
            length_ms: row.window_ms,
        };
        // After this pause no interval of the new length meets probes of the former one.
        let resumes = former.end().0.saturating_add(window.length_ms);
        let paused = window.start().0 < resumes;
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

/// Probes that the gate gets.
fn share_of(row: &BudgetRow, request: &DebitRequest<'_>) -> u32 {
    let allowed = request.budget.probes;
    let gate = request.gate;
    let before = |gate: &GateId| {
        let grant = find_grant(&row.previous, gate);
        grant.map_or(0, GateGrant::spent_at_most)
    };
    let all_before: u32 = row.previous.iter().map(GateGrant::spent_at_most).sum();
    let own_before = before(gate);
    let others = row.grants.iter().filter(|grant| grant.gate != *gate);
    let others_now: u32 = others.clone().map(|grant| grant.count).sum();
    let raised = others.map(|grant| grant.count.saturating_sub(before(&grant.gate)));
    let others_larger = all_before - own_before + raised.sum::<u32>();
    let room = allowed.max(all_before).saturating_sub(others_larger);
    let newcomers = row.grants.iter().map(|grant| &grant.gate);
    let newcomers = newcomers.chain([gate]);
    let newcomers = newcomers.filter(|gate| find_grant(&row.previous, gate).is_none());
    let gates = row.previous.len() + newcomers.count();
    let share = (allowed / gates as u32).max(1);
    share
        .min(room.max(own_before))
        .min(allowed.saturating_sub(others_now))
}

/// Takes back what the gate did not send in the window before.
fn settle_grant(row: &mut BudgetRow, request: &DebitRequest<'_>) {
    let Some(settled) = request.settled else {
        return;
    };
    let is_before = settled.window.length_ms == row.window_ms
        && settled.window.index + 1 == row.window
        && settled.window.day() == request.window.day();
    let mut grants = row.previous.iter_mut();
    let grant = grants.find(|grant| grant.gate == *request.gate && grant.returned.is_none());
    let Some(grant) = grant.filter(|_| is_before) else {
        return;
    };
    let unsent = grant.count.saturating_sub(settled.spent);
    let partner = grant.partner.clone();
    let day = row.days.iter_mut().find(|day| day.partner == partner);
    // Without an entry to correct, the grant stays billed as spent.
    if let Some(day) = day {
        grant.returned = Some(unsent);
        day.returned += u64::from(unsent);
    }
}

/// Adds what the document allowed since the last debit, and takes out the bill of a day that ended.
fn add_asked(
    next: &mut BudgetRow,
    row: Option<&BudgetRow>,
    request: &DebitRequest<'_>,
) -> Option<BillArchive> {
    let window = request.window;
    let probes = u64::from(request.budget.probes);
    let first_today = ProbeWindow::first_of_day(window.day(), window.length_ms);
    let same_length = row.filter(|row| row.window_ms == window.length_ms);
    let last = same_length.map_or(window.index.saturating_sub(1), |row| row.window);
    let mut archive = None;
    if let Some(ended) = next.days.first().map(|entry| entry.day)
        && ended != window.day()
    {
        let mut days = std::mem::take(&mut next.days);
        let first_after = ProbeWindow::first_of_day(ended + 1, window.length_ms);
        let rest = first_after.saturating_sub(last + 1);
        let owner = days.iter_mut().find(|day| day.partner == *request.partner);
        if let Some(owner) = owner {
            owner.asked += probes * rest;
        }
        archive = Some(BillArchive { days });
    }
    let windows = window.index - last.max(first_today.saturating_sub(1));
    day_entry(&mut next.days, request).asked += probes * windows;
    archive
}

/// The bill of the request's day and partner.
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

/// The grant of a gate.
fn find_grant<'a>(grants: &'a [GateGrant], gate: &GateId) -> Option<&'a GateGrant> {
    grants.iter().find(|grant| grant.gate == *gate)
}
