//! Whereabouts of returning contexts: what stores keep of each, what to keep, what to free.
//!
//! Each context has two owners in different failure domains. The state is soft: a new owner
//! rebuilds it from the stores' inventories.

pub mod catalog;
pub mod owners;

use serde::{Deserialize, Serialize};

use crate::ids::{BlockKey, TargetId};
use crate::prompt::Chain;
use crate::upstream::api::StoredObject;

pub use catalog::{Catalog, FreeOrder};
pub use owners::{NodePlace, owners};

/// Positions of a chain that are told to its owners, at the most.
const MAX_POSITIONS: usize = 64;

/// One position of a chain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// Blocks from the start.
    pub blocks: u32,
    /// Key of that prefix.
    pub key: BlockKey,
}

/// A kept prefix and the store that has it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Kept {
    /// The store.
    pub store: TargetId,
    /// The object.
    pub object: StoredObject,
}

/// A prompt was answered: its whole prefix is resident somewhere now.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seen {
    /// Its first block.
    pub root: BlockKey,
    /// Positions of its chain in order, the last one at or near its end.
    pub positions: Vec<Position>,
}

/// An export that an owner finds worth doing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExportPlan {
    /// The context.
    pub root: BlockKey,
    /// What to export.
    pub position: Position,
    /// The generation to write.
    pub generation: u64,
    /// The owner's epoch.
    pub owner_epoch: u64,
    /// Where to.
    pub store: TargetId,
}

/// An export ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Written {
    /// The context.
    pub root: BlockKey,
    /// What was to be exported.
    pub key: BlockKey,
    /// The generation.
    pub generation: u64,
    /// What is kept now; `None` if it failed.
    pub kept: Option<Kept>,
}

impl Seen {
    /// What owners are told of a prompt; `None` if it is shorter than one block.
    pub fn of(chain: &Chain) -> Option<Seen> {
        let root = chain.root()?;
        // Strides are powers of two, so that the positions of a longer prompt are among those
        // of a shorter one with the same beginning.
        let stride = chain.keys.len().div_ceil(MAX_POSITIONS).next_power_of_two();
        let positions = chain
            .keys
            .iter()
            .enumerate()
            .skip(stride - 1)
            .step_by(stride)
            .map(|(index, key)| Position { blocks: index as u32 + 1, key: *key })
            .collect();
        Some(Seen { root, positions })
    }
}
