//! Deterministic answers, so that a client can detect altered, reordered or truncated text and
//! answers to other requests.

use crate::prompt::Owner;

/// The text that an emulated engine generates for a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    seed: u64,
    tokens: u32,
}

impl Answer {
    /// Returns the answer to `owner`'s prompt, which is `tokens` tokens long.
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

    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Returns the text of token `index`, counted from 0. The last token states how many there are.
    pub fn token(&self, index: u32) -> String {
        let separator = if index == 0 { "" } else { " " };
        if index + 1 == self.tokens {
            return format!("{separator}end:{}", self.tokens);
        }
        let hash = (self.seed ^ u64::from(index).wrapping_mul(0x9E37_79B9_7F4A_7C15))
            .wrapping_mul(0xD6E8_FEB8_6659_FD93);
        format!("{separator}{index}:{:05x}", hash >> 44)
    }

    /// Returns the text of all tokens.
    pub fn text(&self) -> String {
        (0..self.tokens).map(|index| self.token(index)).collect()
    }
}
