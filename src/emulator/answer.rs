//! Deterministic answers: whose answer it is, its order and its end can be checked by content.

use crate::prompt::Owner;

/// The text that a stand-in engine generates for one prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    seed: u64,
    tokens: u32,
}

impl Answer {
    /// The answer of `tokens` tokens that `owner`'s prompt gets.
    pub fn new(owner: &Owner, prompt: &str, tokens: u32) -> Answer {
        let mut hasher = blake3::Hasher::new();
        for part in [&owner.account, &owner.model, &owner.weight_version, prompt] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        let mut seed = [0; 8];
        seed.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        Answer { seed: u64::from_le_bytes(seed), tokens }
    }

    /// Number of tokens.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Token `index`, counted from 0. The last one tells that it is the last.
    pub fn token(&self, index: u32) -> String {
        let space = if index == 0 { "" } else { " " };
        if index + 1 == self.tokens {
            return format!("{space}end:{}", self.tokens);
        }
        let mixed = (self.seed ^ u64::from(index).wrapping_mul(0x9E37_79B9_7F4A_7C15))
            .wrapping_mul(0xD6E8_FEB8_6659_FD93);
        format!("{space}{index}:{:05x}", mixed >> 44)
    }

    /// The whole text.
    pub fn text(&self) -> String {
        (0..self.tokens).map(|index| self.token(index)).collect()
    }
}
