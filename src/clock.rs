//! Clocks. Decision logic does not read them; it gets the time as a parameter.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Time since this host booted. Leases are measured with it because, unlike `Instant`, it is guaranteed to
/// include the time during which the host is suspended.
pub type BootTime = Duration;

pub fn boot_now() -> BootTime {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// The wall-clock time in milliseconds since the Unix epoch; 0 if the clock is set to an earlier time.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}
