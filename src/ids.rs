//! Aliases for the identifiers used across modules.

/// A node of this system; chosen by the operator, never used again for another host.
pub type NodeId = u64;
/// A client account.
pub type AccountId = String;
/// A kind of request, for example `diagnosis`.
pub type KindId = String;
/// A model as callers name it.
pub type ModelId = String;
/// A version of a model's weights.
pub type WeightVersion = String;
/// A plain service as callers name it.
pub type ServiceId = String;
/// A target: a model engine, a store or an instance of a plain service.
pub type TargetId = String;
/// Counts the starts of one target; a larger number is a later start.
pub type Incarnation = u64;
/// The caller's id for a request, unique within its account.
pub type RequestId = String;
/// A failure domain.
pub type DomainId = String;
/// Counts the dispatches of one request, from 1.
pub type Attempt = u32;
/// A number of the configuration. An accepted number is final.
pub type ConfigNumber = u64;
/// Hash of a chain of prompt blocks: names one prefix of one account, model and weight version.
pub type BlockKey = u128;
