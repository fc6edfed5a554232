//! Measures the duration, memory and size of single operations and messages.

use std::time::Instant;

use serde::Serialize;

use crate::peer::auth::TAG_BYTES;
use crate::peer::message::Frame;

/// Length prefix and authentication code of a frame.
const FRAME_OVERHEAD_BYTES: usize = 4 + TAG_BYTES;

/// Time of one call in microseconds: the median over `rounds` of the mean over `calls`.
pub(super) fn median_us(rounds: usize, calls: usize, mut operation: impl FnMut(usize)) -> f64 {
    let mut times: Vec<f64> = (0..rounds)
        .map(|round| {
            let start = Instant::now();
            (0..calls).for_each(|number| operation(round * calls + number));
            start.elapsed().as_secs_f64() * 1e6 / calls as f64
        })
        .collect();
    times.sort_by(f64::total_cmp);
    times[times.len() / 2]
}

/// Growth of this process's resident memory during `allocate`. The result is leaked: the next measurement would
/// reuse freed memory and show too little growth.
pub(super) fn resident_growth_bytes<T>(allocate: impl FnOnce() -> T) -> f64 {
    let before = resident_bytes();
    std::mem::forget(std::hint::black_box(allocate()));
    (resident_bytes() - before).max(0.0)
}

fn resident_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: f64 = text.split(' ').nth(1).and_then(|pages| pages.parse().ok()).unwrap_or(0.0);
    pages * 4_096.0
}

pub(super) fn json_bytes<T: Serialize>(value: &T) -> f64 {
    serde_json::to_vec(value).map_or(0.0, |bytes| bytes.len() as f64)
}

pub(super) fn wire_bytes(frame: &Frame) -> usize {
    postcard::to_stdvec(frame).map_or(0, |bytes| bytes.len()) + FRAME_OVERHEAD_BYTES
}
