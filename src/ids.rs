//! Aliases for the identifiers used across modules.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A node of this system; chosen by the operator, never used again for another host.
pub type NodeId = u64;
/// A client account.
pub type AccountId = String;
/// A kind of request, for example `diagnosis`.
pub type KindId = String;
/// A model as callers name it.
pub type ModelId = String;
/// A version of a model's weights.
pub type WeightVersion = String;
/// A plain service as callers name it.
pub type ServiceId = String;
/// A target: a model engine, a store or an instance of a plain service.
pub type TargetId = String;

/// When something started, in Unix milliseconds of its own clock.
pub type BirthMs = i64;

/// One start of a target. A target may start again under the id that it had, and then holds and
/// knows nothing of before: whatever is believed of a target is believed of one start of it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TargetStart {
    /// The target.
    pub id: TargetId,
    /// `None` where births aren't told. Names the start, and says nothing about which of two starts is
    /// the later one: clocks go back.
    pub born_ms: Option<BirthMs>,
}

impl TargetStart {
    /// Whether what tells this birth, or none, may be of this start.
    pub fn may_match_birth(&self, born_ms: Option<BirthMs>) -> bool {
        may_be_same_birth(self.born_ms, born_ms)
    }
}

/// Whether two births may be one: they differ only if both are told.
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

/// Counts the starts of one target; a larger number is a later start.
pub type Incarnation = u64;
/// The caller's id for a request, unique within its account.
pub type RequestId = String;
/// A failure domain.
pub type DomainId = String;
/// Counts the dispatches of one request, from 1.
pub type Attempt = u32;
/// A number of the configuration. An accepted number is final.
pub type ConfigNumber = u64;
/// Hash of a chain of prompt blocks: names one prefix of one account, model and weight version.
pub type BlockKey = u128;
