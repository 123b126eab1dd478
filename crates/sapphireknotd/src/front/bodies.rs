//! Reading of request bodies.

use bytes::Bytes;
use http::{HeaderMap, StatusCode, header};
use hyper::body::Incoming;
use sapphireknot::refusal::RefusalReason;
use tokio::time::{Instant, timeout_at};

use super::refusals::FrontRefusal;
use crate::buffers::{BufferBudget, CollectError};

/// Reads a body of at most `max_bytes`, until `deadline`.
pub async fn read_body(
    buffers: &BufferBudget,
    headers: &HeaderMap,
    body: Incoming,
    max_bytes: usize,
    deadline: Instant,
) -> Result<Bytes, FrontRefusal> {
    let too_large = || FrontRefusal::bad_request(StatusCode::PAYLOAD_TOO_LARGE);
    let declared = headers.get(header::CONTENT_LENGTH).and_then(|it| it.to_str().ok());
    let declared = declared.and_then(|it| it.parse::<u64>().ok());
    if declared.is_some_and(|it| it > max_bytes as u64) {
        return Err(too_large());
    }
    match timeout_at(deadline, buffers.collect(body, max_bytes)).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(CollectError::TooLarge(_))) => Err(too_large()),
        Ok(Err(CollectError::NoMemory)) => Err(FrontRefusal::not_run(RefusalReason::NoRoom)),
        Ok(Err(CollectError::Broken(_))) => Err(FrontRefusal::bad_request(StatusCode::BAD_REQUEST)),
        Err(_) => Err(FrontRefusal::bad_request(StatusCode::REQUEST_TIMEOUT)),
    }
}
