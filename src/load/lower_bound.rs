//! A lower bound for the results of a workload, which assumes that all prefixes that were computed
//! before are reused at no cost, and that no request waits.

use std::collections::HashSet;

use super::emulated_deployment::PREFILL_TOKENS_PER_S;
use super::workload::{Call, Workload, prompt_owner};
use crate::ids::BlockKey;
use crate::prompt::{BLOCK_TOKENS, Chain};

/// The lower bound for any routing policy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LowerBound {
    /// Fraction of prompt tokens that must be computed.
    pub recomputed_share: f64,
    /// 95th percentile of the time to first token of all prompts, in milliseconds.
    pub first_token_p95_ms: f64,
}

impl LowerBound {
    /// Computes the lower bound of a workload.
    pub fn of(workload: &Workload) -> LowerBound {
        let mut known_blocks: HashSet<BlockKey> = HashSet::new();
        let mut prompt_tokens = 0;
        let mut computed_tokens = Vec::new();
        for arrival in &workload.arrivals {
            let Call::Prompt { model, text, .. } = &arrival.call else { continue };
            let text = Call::prompt_text(model, text);
            let chain = Chain::new(&prompt_owner(&arrival.account, model), &text);
            let reused_tokens =
                chain.longest_prefix(|key| known_blocks.contains(key)) * BLOCK_TOKENS;
            known_blocks.extend(&chain.keys);
            prompt_tokens += chain.tokens;
            computed_tokens.push(chain.tokens - reused_tokens.min(chain.tokens));
        }
        if computed_tokens.is_empty() {
            return LowerBound::default();
        }
        computed_tokens.sort_unstable();
        let p95_tokens = computed_tokens[(computed_tokens.len() - 1) * 95 / 100] as f64;
        LowerBound {
            recomputed_share: computed_tokens.iter().sum::<usize>() as f64 / prompt_tokens as f64,
            first_token_p95_ms: p95_tokens / PREFILL_TOKENS_PER_S as f64 * 1_000.0,
        }
    }
}
