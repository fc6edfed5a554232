//! Catalog of stored prefixes: where copies of each context are, which prefixes to export, and
//! which copies to free.
//!
//! Each context has two owners, in different failure domains if possible. The catalog is not
//! persisted: a new owner rebuilds it from the stores' inventories.

pub mod catalog;
pub mod owners;

use serde::{Deserialize, Serialize};

use crate::ids::{BlockKey, TargetId};
use crate::prompt::Chain;
use crate::upstream::api::StoredObject;

pub use catalog::{Catalog, FreeOrder};
pub use owners::{NodeLocation, owners};

/// Largest number of positions of a chain that are sent to its owners.
const MAX_POSITIONS: usize = 64;

/// A prefix of a chain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    pub blocks: u32,
    pub key: BlockKey,
}

/// A stored prefix and the store that holds it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixLocation {
    pub store: TargetId,
    pub object: StoredObject,
}

/// A prompt that was answered, so that its whole prefix is in an engine's cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnsweredPrompt {
    /// Key of its first block.
    pub root: BlockKey,
    /// Prefixes of its chain by increasing length; the last one is at or near its end.
    pub positions: Vec<Position>,
}

/// An export requested by an owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExportPlan {
    /// The context, named by the key of its first block.
    pub root: BlockKey,
    /// The prefix to export.
    pub position: Position,
    pub generation: u64,
    pub owner_epoch: u64,
    pub store: TargetId,
}

/// The result of an export.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExportOutcome {
    /// The context, named by the key of its first block.
    pub root: BlockKey,
    /// Key of the exported prefix.
    pub key: BlockKey,
    pub generation: u64,
    /// `None` if the export failed.
    pub kept: Option<PrefixLocation>,
}

impl AnsweredPrompt {
    /// Describes a prompt for the owners of its context. Returns `None` if it is shorter than one
    /// block.
    pub fn from_chain(chain: &Chain) -> Option<AnsweredPrompt> {
        let root = chain.root()?;
        // Strides are powers of two, so that prompts of different length with a common prefix have
        // positions in common.
        let stride = chain.keys.len().div_ceil(MAX_POSITIONS).next_power_of_two();
        let positions = chain
            .keys
            .iter()
            .enumerate()
            .skip(stride - 1)
            .step_by(stride)
            .map(|(index, key)| Position { blocks: index as u32 + 1, key: *key })
            .collect();
        Some(AnsweredPrompt { root, positions })
    }
}
