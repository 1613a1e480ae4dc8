//! Limits how many statements run at once.

use std::sync::{Condvar, Mutex};

/// The slots of a server; a statement holds one while it runs.
#[derive(Debug)]
pub struct Slots {
    count: usize,
    free: Mutex<usize>,
    released: Condvar,
}

/// A slot in use, released when dropped.
#[derive(Debug)]
pub struct SlotGuard<'a> {
    slots: &'a Slots,
}

impl Slots {
    /// Creates slots that are all free.
    pub fn new(count: usize) -> Self {
        Self { count, free: Mutex::new(count), released: Condvar::new() }
    }

    /// Returns how many statements are running.
    pub fn running_statements(&self) -> usize {
        self.count
            - *self.free.lock().expect("no thread panics while it holds the lock of the slots")
    }

    /// Waits for a free slot and takes it.
    pub fn acquire(&self) -> SlotGuard<'_> {
        let free = self.free.lock().expect("no thread panics while it holds the lock of the slots");
        let mut free = self
            .released
            .wait_while(free, |free| *free == 0)
            .expect("no thread panics while it holds the lock of the slots");
        *free -= 1;
        SlotGuard { slots: self }
    }
}

impl Drop for SlotGuard<'_> {
    fn drop(&mut self) {
        *self.slots.free.lock().expect("no thread panics while it holds the lock of the slots") +=
            1;
        self.slots.released.notify_one();
    }
}
