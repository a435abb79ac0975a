//! Bytes of bodies that one process holds in memory at a time.

use std::cell::Cell;
use std::rc::Rc;

/// A limit on the bytes that a process holds. Clones share the limit and what is held.
///
/// ```
/// use ggs_limit::ByteBudget;
///
/// let budget = ByteBudget::new(100);
/// let lease = budget.take(80).unwrap();
/// assert!(budget.take(30).is_none());
/// drop(lease);
/// assert!(budget.take(30).is_some());
/// ```
#[derive(Clone, Debug)]
pub struct ByteBudget {
    state: Rc<BudgetState>,
}

#[derive(Debug)]
struct BudgetState {
    limit: Cell<usize>,
    held: Cell<usize>,
}

/// Bytes that are taken from a [`ByteBudget`] until the lease is dropped.
#[derive(Debug)]
pub struct ByteLease {
    budget: ByteBudget,
    bytes: usize,
}

impl ByteBudget {
    /// A budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        let state = BudgetState {
            limit: Cell::new(limit),
            held: Cell::new(0),
        };
        Self {
            state: Rc::new(state),
        }
    }

    /// Changes the limit. Leases that exceed a lower one are kept.
    ///
    /// ```
    /// use ggs_limit::ByteBudget;
    ///
    /// let budget = ByteBudget::new(10);
    /// budget.set_limit(20);
    /// assert!(budget.take(20).is_some());
    /// ```
    pub fn set_limit(&self, limit: usize) {
        self.state.limit.set(limit);
    }

    /// Bytes that are held.
    ///
    /// ```
    /// use ggs_limit::ByteBudget;
    ///
    /// let budget = ByteBudget::new(10);
    /// let _lease = budget.take(4);
    /// assert_eq!(budget.held(), 4);
    /// ```
    pub fn held(&self) -> usize {
        self.state.held.get()
    }

    /// Takes `bytes`; `None` if the limit would be exceeded.
    ///
    /// ```
    /// use ggs_limit::ByteBudget;
    ///
    /// assert!(ByteBudget::new(10).take(11).is_none());
    /// ```
    pub fn take(&self, bytes: usize) -> Option<ByteLease> {
        let mut lease = ByteLease {
            budget: self.clone(),
            bytes: 0,
        };
        lease.grow_to(bytes).then_some(lease)
    }
}

impl ByteLease {
    /// Bytes that the lease holds.
    ///
    /// ```
    /// use ggs_limit::ByteBudget;
    ///
    /// assert_eq!(ByteBudget::new(10).take(3).unwrap().bytes(), 3);
    /// ```
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Makes the lease hold at least `bytes`; returns false, and changes nothing, if the limit would
    /// be exceeded.
    ///
    /// ```
    /// use ggs_limit::ByteBudget;
    ///
    /// let mut lease = ByteBudget::new(10).take(3).unwrap();
    /// assert!(lease.grow_to(10));
    /// assert!(!lease.grow_to(11));
    /// ```
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        let state = &self.budget.state;
        let more = bytes.saturating_sub(self.bytes);
        let held = state.held.get().saturating_add(more);
        if more > 0 && held > state.limit.get() {
            return false;
        }
        state.held.set(held);
        self.bytes += more;
        true
    }
}

impl Drop for ByteLease {
    fn drop(&mut self) {
        let held = &self.budget.state.held;
        held.set(held.get() - self.bytes);
    }
}
