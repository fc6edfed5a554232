//! The HTTP interfaces for callers and operators.

pub mod at_most_once;
pub mod callers;
pub mod operators;
pub mod prompt_run;
pub mod prompts;
pub mod refusal;
pub mod relay;
pub mod responses;
pub mod services;

pub use refusal::{Execution, Refusal, RefusalCode};
