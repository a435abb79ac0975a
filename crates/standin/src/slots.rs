//! Slots of a server and the queue for them.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

use ggs_model::LoadReport;
use tokio::sync::oneshot;

/// A request that waits for a slot.
#[derive(Debug)]
struct QueuedRequest {
    number: u64,
    sender: oneshot::Sender<SlotPermit>,
}

#[derive(Debug, Default)]
struct QueueState {
    in_flight: u32,
    next_number: u64,
    waiting: VecDeque<QueuedRequest>,
}

/// Slots with a first-in-first-out queue of bounded length; clones share their state.
#[derive(Clone, Debug)]
pub(crate) struct SlotQueue {
    slots: u32,
    limit: usize,
    state: Rc<RefCell<QueueState>>,
}

impl SlotQueue {
    /// A queue of at most `limit` requests for a number of slots.
    pub(crate) fn new(slots: u32, limit: usize) -> Self {
        let state = Rc::default();
        Self {
            slots,
            limit,
            state,
        }
    }

    /// Requests that hold a slot or wait for one.
    pub(crate) fn report(&self) -> LoadReport {
        let state = self.state.borrow();
        LoadReport {
            in_flight: state.in_flight,
            queued: state.waiting.len() as u32,
            slots: self.slots,
        }
    }

    /// Waits for a slot; `None` if more than `limit` requests wait. Dropping the future leaves the
    /// queue.
    pub(crate) async fn enter(&self, limit: usize) -> Option<SlotPermit> {
        let (number, receiver) = {
            let mut state = self.state.borrow_mut();
            if state.in_flight < self.slots {
                state.in_flight += 1;
                return Some(SlotPermit {
                    queue: self.clone(),
                });
            }
            if state.waiting.len() >= self.limit.min(limit) {
                return None;
            }
            let (sender, receiver) = oneshot::channel();
            let number = state.next_number;
            state.next_number += 1;
            state.waiting.push_back(QueuedRequest { number, sender });
            (number, receiver)
        };
        let _guard = QueueGuard {
            queue: self.clone(),
            number,
        };
        receiver.await.ok()
    }

    /// Hands a free slot to the first waiting request.
    fn release(&self) {
        let first = {
            let mut state = self.state.borrow_mut();
            let first = state.waiting.pop_front();
            if first.is_none() {
                state.in_flight -= 1;
            }
            first
        };
        if let Some(first) = first {
            let permit = SlotPermit {
                queue: self.clone(),
            };
            // A permit that is not taken comes back and is released in turn.
            drop(first.sender.send(permit));
        }
    }
}

/// Removes a request from the queue when it is given up.
struct QueueGuard {
    queue: SlotQueue,
    number: u64,
}

impl Drop for QueueGuard {
    fn drop(&mut self) {
        let mut state = self.queue.state.borrow_mut();
        state
            .waiting
            .retain(|waiting| waiting.number != self.number);
    }
}

/// A held slot; released when dropped.
#[derive(Debug)]
pub(crate) struct SlotPermit {
    queue: SlotQueue,
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        self.queue.release();
    }
}
