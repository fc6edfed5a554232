//! Callers' and operators' HTTP.

pub mod answers;
pub mod callers;
pub mod once;
pub mod operators;
pub mod prompts;
pub mod refusal;
pub mod relay;
pub mod run;
pub mod services;

pub use refusal::{Code, Execution, Refusal};
