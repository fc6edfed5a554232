//! Tests that drive the real binary as separate processes on loopback.

mod failures;
mod interface;
mod serving;
mod testenv;
