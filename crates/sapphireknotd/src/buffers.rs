//! Bounded memory for bodies.
//!
//! The bytes of a body hold their part of the budget until the last reference to them is gone, that is until they are
//! written to the other side.

use std::{fmt, sync::Arc};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use thiserror::Error;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Bytes that one permit stands for; the semaphore's counts are too small for single bytes.
const PERMIT_BYTES: usize = 1 << 10;

/// Why a body was not read.
#[derive(Debug, Error)]
pub enum CollectError {
    /// It is longer than allowed.
    #[error("body is longer than {0} bytes")]
    TooLarge(usize),
    /// The budget is used up.
    #[error("no memory is left for the body")]
    NoMemory,
    /// The other side broke off or broke the framing.
    #[error("body is broken: {0}")]
    Broken(String),
}

/// What a body does when the budget is used up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemoryWait {
    /// It waits.
    Wait,
    /// It fails.
    Fail,
}

/// Memory for bodies that are held at the same time.
#[derive(Debug)]
pub struct BufferBudget {
    permits: Arc<Semaphore>,
    wait: MemoryWait,
}

/// Bytes with their part of the budget.
struct HeldBytes {
    bytes: Vec<u8>,
    _permit: Option<OwnedSemaphorePermit>,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl BufferBudget {
    /// A budget of `max_bytes`.
    pub fn new(max_bytes: usize, wait: MemoryWait) -> Self {
        let permits = max_bytes.div_ceil(PERMIT_BYTES).min(Semaphore::MAX_PERMITS);
        Self { permits: Arc::new(Semaphore::new(permits)), wait }
    }

    /// Reads a body of at most `max_bytes`.
    pub async fn collect<B>(&self, mut body: B, max_bytes: usize) -> Result<Bytes, CollectError>
    where
        B: Body<Data = Bytes> + Unpin,
        B::Error: fmt::Display,
    {
        let mut bytes = Vec::new();
        let mut permit: Option<OwnedSemaphorePermit> = None;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|err| CollectError::Broken(err.to_string()))?;
            let Ok(data) = frame.into_data() else { continue };
            if bytes.len() + data.len() > max_bytes {
                return Err(CollectError::TooLarge(max_bytes));
            }
            let held = permit.as_ref().map_or(0, OwnedSemaphorePermit::num_permits);
            let needed = (bytes.len() + data.len()).div_ceil(PERMIT_BYTES);
            if needed > held {
                let more = self.acquire(needed - held).await?;
                match &mut permit {
                    Some(permit) => permit.merge(more),
                    None => permit = Some(more),
                }
            }
            bytes.extend_from_slice(&data);
        }
        Ok(Bytes::from_owner(HeldBytes { bytes, _permit: permit }))
    }

    async fn acquire(&self, count: usize) -> Result<OwnedSemaphorePermit, CollectError> {
        let count = u32::try_from(count).map_err(|_| CollectError::NoMemory)?;
        let permits = self.permits.clone();
        match self.wait {
            MemoryWait::Wait => {
                permits.acquire_many_owned(count).await.map_err(|_| CollectError::NoMemory)
            }
            MemoryWait::Fail => {
                permits.try_acquire_many_owned(count).map_err(|_| CollectError::NoMemory)
            }
        }
    }
}
