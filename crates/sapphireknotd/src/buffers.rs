//! Bounded memory for bodies.
//!
//! The bytes of a body hold their part of a budget until the last reference to them is gone, that is until they are
//! written to the other side.
//!
//! Bodies that wait for memory must not hold memory that others of them wait for. A [`TieredBudget`] therefore reserves
//! the most that a body of its tier may need at once, and a longer body moves to the next tier: whoever waits holds only
//! memory of tiers below, and whoever has a place in the last tier waits for nothing. Bodies whose length is told have half
//! of the budget for themselves, as the others may have no end and then keep their places until their deadlines.
//!
//! A long body whose length is told may also be passed on while it arrives. It then holds a place of the same size in the
//! tiers for such bodies, whatever its length.

use std::{fmt, sync::Arc};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use thiserror::Error;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Bytes that one permit stands for; the semaphore's counts are too small for single bytes.
const PERMIT_BYTES: usize = 1 << 10;
/// Longest body of the first tier, and the longest that is always read whole; most responses are shorter.
pub(crate) const SMALL_BODY: usize = 64 << 10;
/// Bytes of a body that are read at a time while it is passed on.
pub(crate) const PIECE_BYTES: usize = 16 << 10;
/// Memory of a body that is passed on: its first part, a piece that waits behind it, and the connection's own buffer.
const WINDOW_BYTES: usize = SMALL_BODY + 2 * PIECE_BYTES;
/// Longest body of the second tier; eight of them fit into an eighth of 64 MB.
const MEDIUM_BODY: usize = 1 << 20;

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

/// Memory for bodies that fail when it is used up.
#[derive(Debug)]
pub struct BufferBudget {
    permits: Arc<Semaphore>,
}

/// Memory for bodies that wait when it is used up.
#[derive(Debug)]
pub struct TieredBudget {
    /// For bodies whose length is told.
    declared: [BufferTier; 3],
    /// For bodies that may have no end.
    open: [BufferTier; 3],
}

/// Memory for bodies up to a size.
#[derive(Debug)]
struct BufferTier {
    permits: Arc<Semaphore>,
    /// All permits.
    total: usize,
    /// Longest body; `None` for any that the caller allows.
    max_bytes: Option<usize>,
}

/// Memory that a body holds.
#[derive(Debug, Default)]
struct BufferPlace {
    permit: Option<OwnedSemaphorePermit>,
    bytes: usize,
}

/// Place of a body that is passed on while it arrives.
#[derive(Debug)]
pub(crate) struct WindowPlace {
    permit: OwnedSemaphorePermit,
}

impl WindowPlace {
    /// `bytes` that keep the place until they are gone.
    pub(crate) fn hold(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(HeldBytes { bytes, _permit: Some(self.permit) })
    }
}

/// Bytes with their part of the budget.
struct HeldBytes<T> {
    bytes: T,
    _permit: Option<OwnedSemaphorePermit>,
}

impl<T> AsRef<[u8]> for HeldBytes<T>
where
    T: AsRef<[u8]>,
{
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}

/// Budget of a body that is being read.
#[derive(Clone, Copy)]
enum BodyBudget<'a> {
    Failing(&'a BufferBudget),
    Tiered {
        budget: &'a TieredBudget,
        /// Length that the head of the body tells.
        declared: Option<usize>,
    },
}

impl BufferBudget {
    /// A budget of `max_bytes`.
    pub fn new(max_bytes: usize) -> Self {
        let permits = permits_of(max_bytes).min(Semaphore::MAX_PERMITS);
        Self { permits: Arc::new(Semaphore::new(permits)) }
    }

    /// Reads a body of at most `max_bytes`.
    pub async fn collect<B>(&self, body: B, max_bytes: usize) -> Result<Bytes, CollectError>
    where
        B: Body<Data = Bytes> + Unpin,
        B::Error: fmt::Display,
    {
        BodyBudget::Failing(self).collect(body, max_bytes).await
    }

    fn extend(&self, place: &mut BufferPlace, needed: usize) -> Result<(), CollectError> {
        let more = u32::try_from(permits_of(needed) - permits_of(place.bytes));
        let more = more.map_err(|_| CollectError::NoMemory)?;
        let more = self.permits.clone().try_acquire_many_owned(more);
        let more = more.map_err(|_| CollectError::NoMemory)?;
        match &mut place.permit {
            Some(permit) => permit.merge(more),
            None => place.permit = Some(more),
        }
        place.bytes = permits_of(needed) * PERMIT_BYTES;
        Ok(())
    }
}

impl TieredBudget {
    /// A budget of `max_bytes`; a body that is longer than the whole last tier is read while nothing else is in it.
    pub fn new(max_bytes: usize) -> Self {
        let tier = |part: usize, longest: Option<usize>| {
            let total = permits_of(max_bytes / part).clamp(1, Semaphore::MAX_PERMITS);
            let max_bytes = longest.map(|it| it.min(total * PERMIT_BYTES));
            BufferTier { permits: Arc::new(Semaphore::new(total)), total, max_bytes }
        };
        let half = || [tier(8, Some(SMALL_BODY)), tier(8, Some(MEDIUM_BODY)), tier(4, None)];
        Self { declared: half(), open: half() }
    }

    /// Reads a body of at most `max_bytes`.
    pub async fn collect<B>(&self, body: B, max_bytes: usize) -> Result<Bytes, CollectError>
    where
        B: Body<Data = Bytes> + Unpin,
        B::Error: fmt::Display,
    {
        let declared = body.size_hint().exact().and_then(|it| usize::try_from(it).ok());
        if declared.is_some_and(|it| it > max_bytes) {
            return Err(CollectError::TooLarge(max_bytes));
        }
        BodyBudget::Tiered { budget: self, declared }.collect(body, max_bytes).await
    }

    /// A place for a body whose length is told and that is passed on while it arrives.
    pub(crate) async fn window(&self) -> Result<WindowPlace, CollectError> {
        let [_, medium, long] = &self.declared;
        let permit = tokio::select! {
            permit = medium.acquire(WINDOW_BYTES) => permit?,
            permit = long.acquire(WINDOW_BYTES) => permit?,
        };
        Ok(WindowPlace { permit })
    }

    /// A place for `needed` bytes, of which more may follow up to `max_bytes` unless the length is declared.
    async fn place(
        &self,
        needed: usize,
        declared: Option<usize>,
        max_bytes: usize,
    ) -> Result<BufferPlace, CollectError> {
        let needed = declared.map_or(needed, |it| it.max(needed));
        let fits = |it: &&BufferTier| it.max_bytes.is_none_or(|longest| needed <= longest);
        let tiers = if declared.is_some() { &self.declared } else { &self.open };
        let tier = tiers.iter().find(fits).ok_or(CollectError::NoMemory)?;
        let bytes = match declared {
            Some(_) => needed,
            None => tier.max_bytes.unwrap_or(max_bytes).min(max_bytes),
        };
        Ok(BufferPlace { permit: Some(tier.acquire(bytes).await?), bytes })
    }
}

impl BufferTier {
    /// Waits for `bytes`, or for the whole tier if it is smaller.
    async fn acquire(&self, bytes: usize) -> Result<OwnedSemaphorePermit, CollectError> {
        let count = u32::try_from(permits_of(bytes).min(self.total));
        let count = count.map_err(|_| CollectError::NoMemory)?;
        let permit = self.permits.clone().acquire_many_owned(count).await;
        permit.map_err(|_| CollectError::NoMemory)
    }
}

impl BodyBudget<'_> {
    async fn collect<B>(self, mut body: B, max_bytes: usize) -> Result<Bytes, CollectError>
    where
        B: Body<Data = Bytes> + Unpin,
        B::Error: fmt::Display,
    {
        let mut bytes = Vec::new();
        let mut place = BufferPlace::default();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|err| CollectError::Broken(err.to_string()))?;
            let Ok(data) = frame.into_data() else { continue };
            let needed = bytes.len() + data.len();
            if needed > max_bytes {
                return Err(CollectError::TooLarge(max_bytes));
            }
            if needed > place.bytes {
                match self {
                    Self::Failing(budget) => budget.extend(&mut place, needed)?,
                    Self::Tiered { budget, declared } => {
                        // The place in the tier below is held until there is one in the next.
                        place = budget.place(needed, declared, max_bytes).await?;
                        if needed > SMALL_BODY {
                            // Doubling would take up to twice the memory that is counted.
                            bytes.reserve_exact(place.bytes - bytes.len());
                        }
                    }
                }
            }
            bytes.extend_from_slice(&data);
        }
        bytes.shrink_to_fit();
        if let Some(permit) = &mut place.permit {
            let spare = permit.num_permits().saturating_sub(permits_of(bytes.len()));
            drop(permit.split(spare));
        }
        Ok(Bytes::from_owner(HeldBytes { bytes, _permit: place.permit }))
    }
}

fn permits_of(bytes: usize) -> usize {
    bytes.div_ceil(PERMIT_BYTES)
}
