//! HTTP responses for refused requests.

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use sapphireknot::{
    refusal::{RAN_HEADER, REASON_HEADER, RefusalReason, RequestRefusal},
    time::MonoTime,
};

/// Refusal with an optional HTTP status that overrides that of its reason.
#[derive(Debug, Clone)]
pub struct FrontRefusal {
    /// Reason, and whether the request ran.
    pub refusal: RequestRefusal,
    /// Status that is more specific than that of the reason.
    pub status: Option<StatusCode>,
}

impl From<RequestRefusal> for FrontRefusal {
    fn from(refusal: RequestRefusal) -> Self {
        Self { refusal, status: None }
    }
}

impl FrontRefusal {
    /// Creates a refusal of a request that did not run.
    pub fn not_run(reason: RefusalReason) -> Self {
        RequestRefusal::not_run(reason).into()
    }

    /// Creates a refusal of a malformed request with the given status.
    pub fn bad_request(status: StatusCode) -> Self {
        Self { refusal: RequestRefusal::not_run(RefusalReason::BadRequest), status: Some(status) }
    }

    /// Builds the response for the caller.
    pub fn response(&self, request_id: &str, now: MonoTime) -> Response<Bytes> {
        let RequestRefusal { reason, ran, retry_at } = self.refusal;
        let body = serde_json::json!({
            "reason": reason.as_str(),
            "ran": ran.to_string(),
            "request_id": request_id,
        });
        let mut response = Response::new(Bytes::from(body.to_string()));
        *response.status_mut() = self
            .status
            .or_else(|| StatusCode::from_u16(reason.status()).ok())
            .unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
        headers.insert(REASON_HEADER, HeaderValue::from_static(reason.as_str()));
        if let Ok(ran) = HeaderValue::from_str(&ran.to_string()) {
            headers.insert(RAN_HEADER, ran);
        }
        if matches!(reason, RefusalReason::KeyMissing | RefusalReason::KeyRejected) {
            headers.insert(header::WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
        }
        if let Some(time) = retry_at {
            // Rounded up, because an earlier retry would be refused again.
            let seconds = now.until(time).as_millis().div_ceil(1_000).max(1);
            let seconds = u64::try_from(seconds).unwrap_or(u64::MAX);
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}
