//! Memory budgets for message bodies.
//!
//! The bytes of a body hold their permits until the last reference is dropped, which is after they have been written to
//! the peer.
//!
//! Bodies that wait for memory must not hold memory that others of them wait for, or they would deadlock. A
//! [`TieredBudget`] therefore reserves the maximum size of a tier at once, and a longer body moves to the next tier: a
//! waiting body holds only memory of lower tiers, and a body in the last tier does not wait. Bodies with a declared
//! length have half of the budget to themselves, because the others may never end and then hold their reservations
//! until their deadlines.
//!
//! A long body with a declared length may also be streamed. It then holds a reservation of a fixed size in the tiers of
//! such bodies, whatever its length.

use std::{fmt, sync::Arc};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use thiserror::Error;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Bytes per semaphore permit; the semaphore's maximum count is too small for single bytes.
const PERMIT_BYTES: usize = 1 << 10;
/// Maximum body size of the first tier, and of bodies that are always buffered; most responses are shorter.
pub(crate) const MAX_SMALL_BODY: usize = 64 << 10;
/// Size of the chunks in which a streamed body is read.
pub(crate) const BODY_CHUNK_BYTES: usize = 16 << 10;
/// Reservation of a streamed body: its first part, one queued chunk and the connection's read buffer.
const WINDOW_BYTES: usize = MAX_SMALL_BODY + 2 * BODY_CHUNK_BYTES;
/// Maximum body size of the second tier; eight of them fit into an eighth of 64 MB.
const MAX_MEDIUM_BODY: usize = 1 << 20;

/// Error while reading a body.
#[derive(Debug, Error)]
pub enum CollectError {
    /// The body exceeds the size limit.
    #[error("body is longer than {0} bytes")]
    TooLarge(usize),
    /// The memory budget is exhausted.
    #[error("memory budget for bodies is exhausted")]
    NoMemory,
    /// The peer closed the connection early or sent invalid framing.
    #[error("read body: {0}")]
    Broken(String),
}

/// Memory budget whose bodies fail when it is exhausted.
#[derive(Debug)]
pub struct BufferBudget {
    permits: Arc<Semaphore>,
}

/// Memory budget whose bodies wait when it is exhausted.
#[derive(Debug)]
pub struct TieredBudget {
    /// Tiers for bodies with a declared length.
    declared: [BufferTier; 3],
    /// Tiers for bodies without a declared length, which may never end.
    undeclared: [BufferTier; 3],
}

/// Memory for bodies up to a maximum size.
#[derive(Debug)]
struct BufferTier {
    permits: Arc<Semaphore>,
    /// Total number of permits.
    total: usize,
    /// Maximum body size; `None` for the limit given by the caller.
    max_bytes: Option<usize>,
}

/// Memory reserved for a body.
#[derive(Debug, Default)]
struct BufferReservation {
    permit: Option<OwnedSemaphorePermit>,
    bytes: usize,
}

/// Reservation of a streamed body.
#[derive(Debug)]
pub(crate) struct WindowReservation {
    permit: OwnedSemaphorePermit,
}

impl WindowReservation {
    /// Wraps `bytes` so that they hold the reservation until they are dropped.
    pub(crate) fn attach_to(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(BudgetedBytes { bytes, _permit: Some(self.permit) })
    }
}

/// Bytes that hold their permits until they are dropped.
struct BudgetedBytes<T> {
    bytes: T,
    _permit: Option<OwnedSemaphorePermit>,
}

impl<T> AsRef<[u8]> for BudgetedBytes<T>
where
    T: AsRef<[u8]>,
{
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}

/// Budget from which a body that is being read reserves memory.
#[derive(Clone, Copy)]
enum BodyBudget<'a> {
    Failing(&'a BufferBudget),
    Tiered {
        budget: &'a TieredBudget,
        /// Length declared by the message head.
        declared: Option<usize>,
    },
}

impl BufferBudget {
    /// Creates a budget of `max_bytes`.
    pub fn new(max_bytes: usize) -> Self {
        let permits = permits_for(max_bytes).min(Semaphore::MAX_PERMITS);
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

    fn extend(
        &self,
        reservation: &mut BufferReservation,
        needed: usize,
    ) -> Result<(), CollectError> {
        let additional = u32::try_from(permits_for(needed) - permits_for(reservation.bytes));
        let additional = additional.map_err(|_| CollectError::NoMemory)?;
        let additional = self.permits.clone().try_acquire_many_owned(additional);
        let additional = additional.map_err(|_| CollectError::NoMemory)?;
        match &mut reservation.permit {
            Some(permit) => permit.merge(additional),
            None => reservation.permit = Some(additional),
        }
        reservation.bytes = permits_for(needed) * PERMIT_BYTES;
        Ok(())
    }
}

impl TieredBudget {
    /// Creates a budget of `max_bytes`. A body longer than the whole last tier is read while no other body is in that
    /// tier.
    pub fn new(max_bytes: usize) -> Self {
        let tier = |part: usize, longest: Option<usize>| {
            let total = permits_for(max_bytes / part).clamp(1, Semaphore::MAX_PERMITS);
            let max_bytes = longest.map(|it| it.min(total * PERMIT_BYTES));
            BufferTier { permits: Arc::new(Semaphore::new(total)), total, max_bytes }
        };
        let half_tiers =
            || [tier(8, Some(MAX_SMALL_BODY)), tier(8, Some(MAX_MEDIUM_BODY)), tier(4, None)];
        Self { declared: half_tiers(), undeclared: half_tiers() }
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

    /// Reserves memory for a streamed body with a declared length.
    pub(crate) async fn window(&self) -> Result<WindowReservation, CollectError> {
        let [_, medium, long] = &self.declared;
        let permit = tokio::select! {
            permit = medium.acquire(WINDOW_BYTES) => permit?,
            permit = long.acquire(WINDOW_BYTES) => permit?,
        };
        Ok(WindowReservation { permit })
    }

    /// Reserves memory for `needed` bytes. Unless the length is declared, the body may grow up to `max_bytes`.
    async fn reserve(
        &self,
        needed: usize,
        declared: Option<usize>,
        max_bytes: usize,
    ) -> Result<BufferReservation, CollectError> {
        let needed = declared.map_or(needed, |it| it.max(needed));
        let fits = |it: &&BufferTier| it.max_bytes.is_none_or(|longest| needed <= longest);
        let tiers = if declared.is_some() { &self.declared } else { &self.undeclared };
        let tier = tiers.iter().find(fits).ok_or(CollectError::NoMemory)?;
        let bytes = match declared {
            Some(_) => needed,
            None => tier.max_bytes.unwrap_or(max_bytes).min(max_bytes),
        };
        Ok(BufferReservation { permit: Some(tier.acquire(bytes).await?), bytes })
    }
}

impl BufferTier {
    /// Waits for permits for `bytes`, or for all permits of the tier if it is smaller.
    async fn acquire(&self, bytes: usize) -> Result<OwnedSemaphorePermit, CollectError> {
        let count = u32::try_from(permits_for(bytes).min(self.total));
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
        let mut reservation = BufferReservation::default();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|err| CollectError::Broken(err.to_string()))?;
            let Ok(data) = frame.into_data() else { continue };
            let needed = bytes.len() + data.len();
            if needed > max_bytes {
                return Err(CollectError::TooLarge(max_bytes));
            }
            if needed > reservation.bytes {
                match self {
                    Self::Failing(budget) => budget.extend(&mut reservation, needed)?,
                    Self::Tiered { budget, declared } => {
                        // The reservation in the lower tier is held until the one in the next tier is granted.
                        reservation = budget.reserve(needed, declared, max_bytes).await?;
                        if needed > MAX_SMALL_BODY {
                            // Amortised growth could allocate up to twice the reserved memory.
                            bytes.reserve_exact(reservation.bytes - bytes.len());
                        }
                    }
                }
            }
            bytes.extend_from_slice(&data);
        }
        bytes.shrink_to_fit();
        if let Some(permit) = &mut reservation.permit {
            let surplus_permits = permit.num_permits().saturating_sub(permits_for(bytes.len()));
            drop(permit.split(surplus_permits));
        }
        Ok(Bytes::from_owner(BudgetedBytes { bytes, _permit: reservation.permit }))
    }
}

fn permits_for(bytes: usize) -> usize {
    bytes.div_ceil(PERMIT_BYTES)
}
