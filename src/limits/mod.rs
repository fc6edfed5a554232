//! Limits: how many requests run and wait at a node, and who goes next.

pub mod admission;
pub mod shares;

pub use admission::{Admission, AdmissionRefusal, AdmissionRequest, AdmissionResult, Ticket};
