//! Limits on running and waiting requests at a node, and on an account over all nodes.

pub mod admission;
pub mod shares;

pub use admission::{Admission, AdmissionRefusal, AdmissionRequest, AdmissionResult, Ticket};
