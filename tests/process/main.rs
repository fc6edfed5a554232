//! Tests that drive the real binary as separate processes on loopback.

mod asking;
mod failures;
mod interface;
mod requests;
mod serving;
mod testenv;
