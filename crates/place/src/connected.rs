//! Which of many servers to probe, if the gate has open connections to some.

/// Part of the probed servers that are taken as drawn, whether or not they are connected, so that
/// each server is probed from time to time: one in this many, at least one.
const UNBIASED_DIVISOR: usize = 4;

/// Number of servers to draw for each one that is probed, to choose from.
pub const DRAWN_PER_PROBE: usize = 4;

/// Chooses up to `count` of the servers in `drawn`, which are in random order. A few are the first
/// ones drawn; the others are those that are connected, as far as there are any.
///
/// In a large fleet, a gate meets each of some hundred servers so seldom that its connection to it
/// has ended by then, and a new one costs the server more than a probe. A gate that prefers the
/// servers that it is connected to keeps to a part of them, and as the first ones are drawn from all,
/// that part changes slowly and new servers get into it.
///
/// ```
/// use ggs_place::prefer_connected;
///
/// let chosen = prefer_connected(vec![1, 2, 3, 4, 5, 6], 4, |server| *server > 4);
/// assert_eq!(chosen, [1, 5, 6, 2]);
/// ```
pub fn prefer_connected<S>(
    mut drawn: Vec<S>,
    count: usize,
    is_connected: impl Fn(&S) -> bool,
) -> Vec<S> {
    let unbiased_count = (count / UNBIASED_DIVISOR).max(1).min(drawn.len());
    let rest = drawn.split_off(unbiased_count);
    let (connected, others): (Vec<_>, Vec<_>) = rest.into_iter().partition(is_connected);
    drawn.extend(connected);
    drawn.extend(others);
    drawn.truncate(count);
    drawn
}
