use std::cell::Cell;
use std::rc::Rc;

/// Limit on the bytes that a router holds for the readers of large answers.
#[derive(Debug)]
pub struct ByteBudget {
    limit: u64,
    held: Cell<u64>,
    peak: Cell<u64>,
}

/// Bytes of the budget that one answer holds, until dropped.
#[derive(Debug)]
pub struct BudgetShare {
    budget: Rc<ByteBudget>,
    bytes: u64,
}

impl ByteBudget {
    /// Divisor of the machine's memory that gives the limit. All buffers together may take a quarter
    /// of the memory, so requests with bodies keep the other eighth.
    const MEMORY_SHARE: u64 = 8;

    /// Creates the budget of a machine with this much memory, in bytes.
    pub fn of_machine(memory_bytes: u64) -> ByteBudget {
        let limit = memory_bytes / ByteBudget::MEMORY_SHARE;
        ByteBudget { limit, held: Cell::new(0), peak: Cell::new(0) }
    }

    /// Returns the number of bytes that may be held.
    pub fn limit(&self) -> u64 {
        self.limit
    }

    /// Returns the number of bytes held now.
    pub fn held(&self) -> u64 {
        self.held.get()
    }

    /// Returns the highest number of bytes held at once.
    pub fn peak(&self) -> u64 {
        self.peak.get()
    }

    /// Starts an empty share.
    pub fn share(self: &Rc<ByteBudget>) -> BudgetShare {
        BudgetShare { budget: Rc::clone(self), bytes: 0 }
    }
}

impl BudgetShare {
    /// Returns the number of bytes in the share.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Returns the budget that the share belongs to.
    pub fn budget(&self) -> &ByteBudget {
        &self.budget
    }

    /// Changes the share to `bytes` unless the shares would then exceed `limit`; returns whether it
    /// did. A share never fails to shrink.
    pub fn try_set(&mut self, bytes: u64, limit: u64) -> bool {
        let others = self.budget.held() - self.bytes;
        if bytes > self.bytes && others + bytes > limit {
            return false;
        }
        self.set(bytes);
        true
    }

    /// Changes the share to `bytes`, whatever the limit.
    pub fn set(&mut self, bytes: u64) {
        let held = self.budget.held() - self.bytes + bytes;
        self.budget.held.set(held);
        self.budget.peak.set(self.budget.peak().max(held));
        self.bytes = bytes;
    }
}

impl Drop for BudgetShare {
    fn drop(&mut self) {
        self.set(0);
    }
}
