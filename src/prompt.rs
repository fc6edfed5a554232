//! Prompt blocks: splits prompts into blocks and names prefixes by hash chains.
//!
//! A block's key hashes the account, model, weight version, adapter, and all blocks up to it.
//! Accounts and versions never share keys, so one can't refer to another's blocks.

use crate::ids::{AccountId, BlockKey, ModelId, WeightVersion};

/// Tokens per block. Only complete blocks are shared or stored.
pub const BLOCK_TOKENS: usize = 128;

/// Owner of a context. Blocks are never shared between different owners.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Owner {
    pub account: AccountId,
    pub model: ModelId,
    pub weight_version: WeightVersion,
    /// The adapter; empty for none.
    pub adapter: String,
}

/// A prompt split into blocks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chain {
    /// Key of the prefix that ends with each complete block, in order.
    pub keys: Vec<BlockKey>,
    /// Length of the whole prompt in tokens, including the incomplete last block.
    pub tokens: usize,
}

impl Chain {
    /// Splits `prompt` into blocks for `owner`.
    ///
    /// Words stand in for tokens, since nodes have no tokenizer; engines report their own counts in
    /// `usage`.
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

    /// Key that determines which nodes own the records of this context; `None` if the prompt has no
    /// complete block.
    pub fn root(&self) -> Option<BlockKey> {
        self.keys.first().copied()
    }

    /// Length, in blocks, of the longest prefix whose key satisfies `known`.
    pub fn longest_prefix(&self, known: impl Fn(&BlockKey) -> bool) -> usize {
        self.keys.iter().rposition(known).map_or(0, |position| position + 1)
    }
}

fn owner_hash(owner: &Owner) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    for part in [&owner.account, &owner.model, &owner.weight_version, &owner.adapter] {
        // The length prefix distinguishes ("ab", "c") from ("a", "bc").
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
