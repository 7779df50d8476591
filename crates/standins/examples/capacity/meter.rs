//! Measures allocated bytes and the time of calls.

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;

struct CountingAllocator;

static ALLOCATED: AtomicUsize = AtomicUsize::new(0);

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

// SAFETY: Every call is forwarded unchanged to the system's allocator, which upholds the contract.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATED.fetch_add(layout.size(), Ordering::Relaxed);
        // SAFETY: The caller upholds the contract of this method, which is the same.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        ALLOCATED.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: The caller upholds the contract of this method, which is the same.
        unsafe { System.dealloc(pointer, layout) }
    }
}

/// Returns the number of bytes that are currently allocated.
pub(crate) fn allocated() -> f64 {
    // CAST: The number is far below 2^53, so it is exact.
    ALLOCATED.load(Ordering::Relaxed) as f64
}

/// Returns the seconds since `start`. The example has only one thread, so its processor time is at most this.
pub(crate) fn elapsed_since(start: Instant) -> f64 {
    start.elapsed().as_secs_f64()
}

/// Runs `call` with the numbers from 0 to `calls` - 1 and returns the mean time of a call in microseconds.
pub(crate) fn mean_microseconds(calls: u32, mut call: impl FnMut(u32)) -> f64 {
    let start = Instant::now();
    for number in 0..calls {
        call(number);
    }
    1e6 * elapsed_since(start) / f64::from(calls)
}
