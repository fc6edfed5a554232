//! The clairvoyant lower bound of a workload: every token that came before is free, nothing waits.

use std::collections::HashSet;

use super::emulated_deployment::PREFILL_TOKENS_PER_S;
use super::workload::{Call, Workload, owner};
use crate::ids::BlockKey;
use crate::prompt::{BLOCK_TOKENS, Chain};

/// What no policy can beat on a workload.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LowerBound {
    /// Least share of prompt tokens that must be computed.
    pub recomputed_share: f64,
    /// Least 95th percentile of the time to first token of prompts, in milliseconds.
    pub first_token_p95_ms: f64,
}

impl LowerBound {
    /// The bound of a workload.
    pub fn of(workload: &Workload) -> LowerBound {
        let mut known: HashSet<BlockKey> = HashSet::new();
        let mut prompt_tokens = 0;
        let mut computed = Vec::new();
        for arrival in &workload.arrivals {
            let Call::Prompt { model, text, .. } = &arrival.call else { continue };
            let text = Call::prompt_text(model, text);
            let chain = Chain::new(&owner(&arrival.account, model), &text);
            let reused = chain.longest(|key| known.contains(key)) * BLOCK_TOKENS;
            known.extend(&chain.keys);
            prompt_tokens += chain.tokens;
            computed.push(chain.tokens - reused.min(chain.tokens));
        }
        if computed.is_empty() {
            return LowerBound::default();
        }
        computed.sort_unstable();
        let p95 = computed[(computed.len() - 1) * 95 / 100] as f64;
        LowerBound {
            recomputed_share: computed.iter().sum::<usize>() as f64 / prompt_tokens as f64,
            first_token_p95_ms: p95 / PREFILL_TOKENS_PER_S as f64 * 1_000.0,
        }
    }
}
