//! Prompt blocks: how a prompt is cut into blocks and how a prefix is named.
//!
//! A block's key hashes the account, model, weight version and adapter and then the chain of all
//! blocks up to it. A block of another account or version has another key, so it can't be named.

use crate::ids::{AccountId, BlockKey, ModelId, WeightVersion};

/// Tokens in one block. Only whole blocks are shared or kept.
pub const BLOCK_TOKENS: usize = 128;

/// What a context belongs to. No block is ever shared between two different owners.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Owner {
    /// The account whose prompt it is.
    pub account: AccountId,
    /// The model that computes it.
    pub model: ModelId,
    /// The weight version that computes it.
    pub weight_version: WeightVersion,
    /// The adapter, empty for none.
    pub adapter: String,
}

/// A prompt cut into blocks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chain {
    /// Key of the prefix that ends with each whole block, in order.
    pub keys: Vec<BlockKey>,
    /// Length of the whole prompt in tokens; at least `keys.len() * BLOCK_TOKENS`.
    pub tokens: usize,
}

impl Chain {
    /// Cuts `prompt` into blocks for `owner`.
    ///
    /// Tokens are counted as words here, since a node has no tokenizer of the models'; an engine's
    /// own count is reported in its usage.
    pub fn new(owner: &Owner, prompt: &str) -> Chain {
        let mut keys = Vec::new();
        let mut previous = owner_hash(owner);
        let mut hasher = block_hasher(previous);
        let mut tokens = 0;
        for word in prompt.split_ascii_whitespace() {
            hasher.update(word.as_bytes());
            hasher.update(b" ");
            tokens += 1;
            if tokens % BLOCK_TOKENS == 0 {
                previous = *hasher.finalize().as_bytes();
                keys.push(truncate_hash(&previous));
                hasher = block_hasher(previous);
            }
        }
        Chain { keys, tokens }
    }

    /// The key that decides which nodes own what is known of this context; `None` if the prompt
    /// is shorter than one block.
    pub fn root(&self) -> Option<BlockKey> {
        self.keys.first().copied()
    }

    /// The longest prefix, in blocks, whose key satisfies `known`.
    pub fn longest_prefix(&self, known: impl Fn(&BlockKey) -> bool) -> usize {
        self.keys.iter().rposition(known).map_or(0, |position| position + 1)
    }
}

fn owner_hash(owner: &Owner) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    for part in [&owner.account, &owner.model, &owner.weight_version, &owner.adapter] {
        // The length keeps ("ab", "c") apart from ("a", "bc").
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    *hasher.finalize().as_bytes()
}

fn block_hasher(previous: [u8; 32]) -> blake3::Hasher {
    blake3::Hasher::new_keyed(&previous)
}

fn truncate_hash(hash: &[u8; 32]) -> BlockKey {
    let mut bytes = [0; 16];
    bytes.copy_from_slice(&hash[..16]);
    BlockKey::from_le_bytes(bytes)
}
