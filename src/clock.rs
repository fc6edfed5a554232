//! Time sources. Decisions never read a clock; they are fed `now`.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Time since this host booted. It runs on through a freeze or suspend of the process or host,
/// which `Instant` does not promise, so leases are measured on it.
pub type BootTime = Duration;

/// Reads the boot clock.
pub fn boot_now() -> BootTime {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// Wall-clock time as milliseconds since the Unix epoch; 0 if the clock is set before it.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}
