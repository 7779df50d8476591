//! Counts allocated bytes and the time of calls.

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;

struct CountingAllocator;

static ALLOCATED: AtomicUsize = AtomicUsize::new(0);

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

// SAFETY: Every call is passed on unchanged to the system's allocator, which upholds the contract.
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

/// Returns the bytes that are allocated now.
pub(crate) fn allocated() -> f64 {
    // CAST: Far below two to the power of 53.
    ALLOCATED.load(Ordering::Relaxed) as f64
}

/// Returns the seconds since a point in time; no less than the processor time of the only thread.
pub(crate) fn elapsed_since(start: Instant) -> f64 {
    start.elapsed().as_secs_f64()
}

/// Returns the mean time of a call, in microseconds.
pub(crate) fn microseconds(calls: u32, mut call: impl FnMut(u32)) -> f64 {
    let start = Instant::now();
    for number in 0..calls {
        call(number);
    }
    1e6 * elapsed_since(start) / f64::from(calls)
}
