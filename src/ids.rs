//! Types of the identifiers that are used across modules.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Identifies a node. Chosen by the operator, and never reused for another host.
pub type NodeId = u64;
/// Identifies a client account.
pub type AccountId = String;
/// Name of a kind of request, for example `diagnosis`.
pub type KindId = String;
/// Name of a model, as used by callers.
pub type ModelId = String;
/// Identifies a version of a model's weights.
pub type WeightVersion = String;
/// Identifies a version of the software that a target runs, which is independent of its weights.
pub type SoftwareVersion = String;
/// Name of a plain service, as used by callers.
pub type ServiceId = String;
/// Identifies a target: a model engine, a store or an instance of a plain service.
pub type TargetId = String;

/// The time at which a process started, called its birth: milliseconds since the Unix epoch on its own host's clock.
pub type BirthMs = i64;

/// One start of a target. A target that restarts keeps its id but loses its state, so information about a target
/// always refers to one start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TargetStart {
    pub id: TargetId,
    /// When the target started; `None` if it is not reported. Only compared for equality: clocks may be set
    /// back, so the greater of two births is not necessarily the later one.
    pub born_ms: Option<BirthMs>,
}

impl TargetStart {
    /// Whether information with this birth, or without one, may refer to this start.
    pub fn may_match_birth(&self, born_ms: Option<BirthMs>) -> bool {
        may_be_same_birth(self.born_ms, born_ms)
    }
}

/// Whether two births may belong to the same start. An unknown birth matches any.
pub fn may_be_same_birth(one: Option<BirthMs>, other: Option<BirthMs>) -> bool {
    one.is_none() || other.is_none() || one == other
}

impl fmt::Display for TargetStart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.born_ms {
            Some(born_ms) => write!(f, "{}/{born_ms}", self.id),
            None => f.write_str(&self.id),
        }
    }
}

/// Number of a target's start; a greater number is a later start.
pub type Incarnation = u64;
/// The caller's id for a request, unique within the account.
pub type RequestId = String;
/// Identifies a failure domain.
pub type DomainId = String;
/// Identifies a region, which consists of failure domains.
pub type RegionId = String;
/// Number of a dispatch of a request, starting at 1.
pub type Attempt = u32;
/// Number of a version of the configuration. The content of an accepted number never changes.
pub type ConfigNumber = u64;
/// Hash of a chain of prompt blocks. Identifies a prefix of a prompt for one account, model and weight version.
pub type BlockKey = u128;
