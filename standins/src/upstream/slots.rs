//! Bounds how many statements run at once.

use std::sync::{Condvar, Mutex};

/// The slots of a server; a statement holds one while it runs.
#[derive(Debug)]
pub struct Slots {
    count: usize,
    free: Mutex<usize>,
    released: Condvar,
}

/// A taken slot, given back when dropped.
#[derive(Debug)]
pub struct SlotGuard<'a> {
    slots: &'a Slots,
}

impl Slots {
    /// Creates a number of free slots.
    pub fn new(count: usize) -> Self {
        Self { count, free: Mutex::new(count), released: Condvar::new() }
    }

    /// Returns how many statements run now.
    pub fn running(&self) -> usize {
        self.count - *self.free.lock().expect("no holder of the slots panics")
    }

    /// Waits for a free slot and takes it.
    pub fn acquire(&self) -> SlotGuard<'_> {
        let free = self.free.lock().expect("no holder of the slots panics");
        let mut free = self
            .released
            .wait_while(free, |free| *free == 0)
            .expect("no holder of the slots panics");
        *free -= 1;
        SlotGuard { slots: self }
    }
}

impl Drop for SlotGuard<'_> {
    fn drop(&mut self) {
        *self.slots.free.lock().expect("no holder of the slots panics") += 1;
        self.slots.released.notify_one();
    }
}
