//! Memory for bodies over all requests of a process.
//!
//! [`BodyBudget`] is plain data: it knows how much is held and decides what more may be. [`BodyMemory`] shares one between
//! the connections of a thread, and a [`BodyHold`] gives back what a request holds when it is dropped.
//!
//! Without a limit, everything is granted.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    rc::Rc, //
};

/// Longest request body that is kept in memory, so that it can be sent again, if there is no limit or little of it left.
const KEPT_BODY_BYTES: u64 = 64 << 10;
/// Longest one while much of the limit is left. An upstream gets a kept body at the speed of the entry, not of the caller.
const KEPT_BODY_BYTES_MAX: u64 = 512 << 10;
/// Percentage of the limit up to which longer bodies are kept. The rest is for bodies of the common length.
const LONG_BODIES_PCT: u64 = 50;
/// Body length up to which a request is never refused: connections have read buffers of this size anyway.
pub(crate) const SMALL_BODY_BYTES: u64 = 8 << 10;

/// Memory that bodies hold and may hold, in bytes.
#[derive(Clone, Debug, Default)]
pub struct BodyBudget {
    limit_bytes: Option<u64>,
    held_bytes: u64,
}

impl BodyBudget {
    /// Creates an unused budget; without a limit, everything is granted.
    pub fn new(limit_bytes: Option<u64>) -> Self {
        Self {
            limit_bytes,
            held_bytes: 0,
        }
    }

    /// Maximum memory of all bodies together; `None` if there is none.
    pub fn limit_bytes(&self) -> Option<u64> {
        self.limit_bytes
    }

    /// Memory of all bodies.
    pub fn held_bytes(&self) -> u64 {
        self.held_bytes
    }

    /// Takes memory if it is within the limit. Returns whether it is.
    pub fn try_take(&mut self, bytes: u64) -> bool {
        let total = self.held_bytes.saturating_add(bytes);
        let fits = self.limit_bytes.is_none_or(|limit| total <= limit);
        if fits {
            self.held_bytes = total;
        }
        fits
    }

    /// Takes memory for what has to be held in any case.
    pub fn take(&mut self, bytes: u64) {
        self.held_bytes = self.held_bytes.saturating_add(bytes);
    }

    /// Gives memory back.
    pub fn give_back(&mut self, bytes: u64) {
        self.held_bytes = self.held_bytes.saturating_sub(bytes);
    }

    /// Returns up to which length a request body with this declared length, if any, is kept in memory.
    pub fn kept_body_bytes_max(&self, length_bytes: Option<u64>) -> u64 {
        let is_ample = self
            .limit_bytes
            .is_some_and(|limit| self.held_bytes <= limit / 100 * LONG_BODIES_PCT);
        // A body that can't be kept as a whole is streamed, so that more of it in memory is of little use.
        let is_short = length_bytes.is_none_or(|length| length <= KEPT_BODY_BYTES_MAX);
        if is_ample && is_short {
            KEPT_BODY_BYTES_MAX
        } else {
            KEPT_BODY_BYTES
        }
    }
}

/// The budget that the connections of one thread share.
#[derive(Clone, Debug, Default)]
pub struct BodyMemory(Rc<RefCell<BodyBudget>>);

impl BodyMemory {
    /// Creates an unused budget; without a limit, everything is granted.
    pub fn new(limit_bytes: Option<u64>) -> Self {
        Self(Rc::new(RefCell::new(BodyBudget::new(limit_bytes))))
    }

    /// Returns a copy of the budget's state.
    pub fn budget(&self) -> BodyBudget {
        self.0.borrow().clone()
    }

    /// Returns whether there is a limit.
    pub fn is_limited(&self) -> bool {
        self.0.borrow().limit_bytes.is_some()
    }

    /// Returns a hold of nothing, which may grow.
    pub fn hold(&self) -> BodyHold {
        BodyHold {
            memory: self.clone(),
            bytes: Cell::new(0),
        }
    }

    /// Returns a hold for the minimum that receiving a body takes: `window_bytes`, or the declared length if that is less,
    /// or little while the body may still prove to be small. `None` if it is not granted.
    pub(crate) fn hold_minimum(
        &self,
        length_bytes: Option<u64>,
        window_bytes: u64,
    ) -> Option<BodyHold> {
        let hold = self.hold();
        let minimum = length_bytes.map_or(SMALL_BODY_BYTES, |length| length.min(window_bytes));
        if minimum <= SMALL_BODY_BYTES {
            hold.grow(minimum);
            return Some(hold);
        }
        hold.try_grow_to(minimum).then_some(hold)
    }

    /// Returns up to which length a request body with this declared length, if any, is kept in memory.
    pub(crate) fn kept_body_bytes_max(&self, length_bytes: Option<u64>) -> u64 {
        self.0.borrow().kept_body_bytes_max(length_bytes)
    }
}

/// Memory held for one body, given back on drop.
#[derive(Debug)]
pub struct BodyHold {
    memory: BodyMemory,
    bytes: Cell<u64>,
}

impl BodyHold {
    /// Memory that it holds.
    pub fn bytes(&self) -> u64 {
        self.bytes.get()
    }

    /// Takes more memory for what has to be held in any case.
    pub fn grow(&self, bytes: u64) {
        self.memory.0.borrow_mut().take(bytes);
        self.bytes.set(self.bytes.get() + bytes);
    }

    /// Takes more memory up to `bytes` in total if it is within the limit. Returns whether it holds as much.
    pub fn try_grow_to(&self, bytes: u64) -> bool {
        let missing = bytes.saturating_sub(self.bytes.get());
        if missing == 0 {
            return true;
        }
        let granted = self.memory.0.borrow_mut().try_take(missing);
        if granted {
            self.bytes.set(bytes);
        }
        granted
    }

    /// Gives back what exceeds `bytes`.
    pub fn shrink_to(&self, bytes: u64) {
        let surplus = self.bytes.get().saturating_sub(bytes);
        self.memory.0.borrow_mut().give_back(surplus);
        self.bytes.set(self.bytes.get() - surplus);
    }
}

impl Drop for BodyHold {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}
