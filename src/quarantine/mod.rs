//! Quarantine of "queries of death": requests that make targets terminate are recognized and held,
//! that is, not sent to further targets. So are all requests with a prompt part that does so.
//!
//! Many requests run on a target when it terminates, and only one of them, or a part of it, may be the cause. Each
//! process records what it knows in a `Quarantine` and sends reports to others. Merging reports is
//! commutative and idempotent, so reports may be repeated or reordered, no leader is needed, and a
//! restarted process catches up from any other.

mod blame;
pub mod broken_runs;
mod fingerprint;
pub mod notify;
mod record;
mod state;

pub use blame::HoldReason;
pub use fingerprint::Fingerprint;
pub use record::{Report, ReportedEnd};
pub use state::{Hold, MergeResult, Quarantine};

/// Number of changes to one process's quarantine; 0 is before the first.
pub type Revision = u64;
