//! Bounds the memory of the bodies that a process holds for peers that read slowly.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;

/// Bodies may use one part in this many of the process's memory. The rest is for its state, and for the
/// buffers of connections.
const MEMORY_DIVISOR: u64 = 4;

/// The memory that the bodies of one process share.
#[derive(Clone, Debug)]
pub struct BodyMemory {
    free_bytes: Arc<AtomicUsize>,
}

/// The memory of one body. Dropping it frees the memory.
#[derive(Debug)]
pub struct Reservation {
    memory: BodyMemory,
    size_bytes: usize,
}

/// Other bodies use the memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutOfMemory;

/// The bytes of a body, with their memory.
struct HeldBody {
    bytes: Bytes,
    _reservation: Reservation,
}

impl BodyMemory {
    /// A part of the memory of a process that may use this much.
    pub fn within(memory_limit_bytes: u64) -> BodyMemory {
        let size_bytes = usize::try_from(memory_limit_bytes / MEMORY_DIVISOR);
        BodyMemory::new(size_bytes.unwrap_or(usize::MAX))
    }

    /// For bodies that are bounded by other means.
    pub fn unlimited() -> BodyMemory {
        BodyMemory::new(usize::MAX)
    }

    fn new(size_bytes: usize) -> BodyMemory {
        BodyMemory { free_bytes: Arc::new(AtomicUsize::new(size_bytes)) }
    }

    /// The reservation of a body that is still empty.
    pub fn reservation(&self) -> Reservation {
        Reservation { memory: self.clone(), size_bytes: 0 }
    }
}

impl Reservation {
    /// Reserves more memory for the same body. A body may not exceed what it leaves to others, so that a
    /// short one finds room beside many long ones.
    ///
    /// # Errors
    /// If other bodies use too much.
    pub fn grow(&mut self, by_bytes: usize) -> Result<(), OutOfMemory> {
        let size_bytes = self.size_bytes + by_bytes;
        let take = |free: usize| free.checked_sub(by_bytes).filter(|left| *left >= size_bytes);
        let taken = self.memory.free_bytes.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take);
        taken.map_err(|_| OutOfMemory)?;
        self.size_bytes = size_bytes;
        Ok(())
    }

    /// Keeps the reservation until the last reference to these bytes is dropped.
    pub fn hold(self, bytes: Bytes) -> Bytes {
        if bytes.is_empty() {
            return bytes;
        }
        Bytes::from_owner(HeldBody { bytes, _reservation: self })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.memory.free_bytes.fetch_add(self.size_bytes, Ordering::Relaxed);
    }
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
