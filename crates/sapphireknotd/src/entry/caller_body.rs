//! Response bodies for callers.
//!
//! A long body is streamed to the caller while it arrives. The request and its attempt are in flight until the last
//! byte is handed to the connection; their ends are reported only then. If the body is cut short, the caller's
//! connection is closed before the announced content length is reached, so that the response cannot look complete.

use std::{
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http::StatusCode;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use sapphireknot::{picker::ServerOutcome, time::MonoTime};
use thiserror::Error;
use tokio::time::{Sleep, sleep_until};

use super::{
    attempt_guard::AttemptGuard,
    request_report::{RequestReport, RequestResult},
};
use crate::{
    clock::HostClock,
    constants,
    telemetry::HopSpan,
    upstream::{
        connections::ExchangeError,
        streamed_body::{ResponseBody, StreamedBody},
    },
};

/// Error that cuts a response short.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The exchange with the backend server failed.
    #[error("pass on response: {0}")]
    Server(#[from] ExchangeError),
    /// The backend server did not send the rest by its deadline.
    #[error("pass on response: no further bytes of the backend server in time")]
    Deadline,
    /// The caller did not read the rest by its deadline.
    #[error("pass on response: the caller reads too slowly")]
    Caller,
}

/// Body of a response to a caller.
pub enum EntryBody {
    /// The complete body in memory.
    Buffered(Full<Bytes>),
    /// A body that is streamed while it arrives.
    Streamed(Box<ForwardedBody>),
}

/// Body that is streamed while it arrives.
pub struct ForwardedBody {
    pieces: StreamedBody,
    clock: HostClock,
    /// Deadline for the server to send the rest.
    deadline: MonoTime,
    /// Wakes the task at that deadline if the server sends nothing.
    timer: Pin<Box<Sleep>>,
    /// Deadline for the caller to read the rest.
    caller_deadline: MonoTime,
    /// Start of the current wait for the server.
    waiting_since: Option<MonoTime>,
    attempt: Option<PendingAttempt>,
    request: Option<PendingRequest>,
}

/// Attempt whose outcome is reported at the end of the body.
struct PendingAttempt {
    guard: AttemptGuard,
    /// Outcome to report if the body is complete.
    outcome: ServerOutcome,
    /// Latency of the server so far; excludes the time that the caller takes to read.
    elapsed: Duration,
    span: Option<HopSpan>,
}

/// Request whose result is reported at the end of the body.
struct PendingRequest {
    report: RequestReport,
    status: StatusCode,
}

impl EntryBody {
    /// Creates a body that the server must have sent completely by `deadline`.
    pub(super) fn new(body: ResponseBody, clock: HostClock, deadline: MonoTime) -> Self {
        match body {
            ResponseBody::Buffered(bytes) => bytes.into(),
            ResponseBody::Streamed(pieces) => Self::Streamed(Box::new(ForwardedBody {
                pieces,
                clock,
                deadline,
                timer: Box::pin(sleep_until(clock.instant(deadline))),
                // Uses the limit for a caller that reads nothing at all, so that a slow reader holds its server no
                // longer than that.
                caller_deadline: deadline.after(constants::WRITE_TIMEOUT.0),
                waiting_since: None,
                attempt: None,
                request: None,
            })),
        }
    }

    /// The streamed body, if this is one.
    pub(super) fn streamed_mut(&mut self) -> Option<&mut ForwardedBody> {
        match self {
            Self::Buffered(_) => None,
            Self::Streamed(body) => Some(body),
        }
    }
}

impl From<Bytes> for EntryBody {
    fn from(bytes: Bytes) -> Self {
        Self::Buffered(Full::new(bytes))
    }
}

impl ForwardedBody {
    /// Reports the attempt at the end of the body, with `outcome` if the body is complete.
    pub(super) fn report_attempt(
        &mut self,
        guard: AttemptGuard,
        outcome: ServerOutcome,
        span: Option<HopSpan>,
    ) {
        let elapsed = guard.elapsed();
        self.attempt = Some(PendingAttempt { guard, outcome, elapsed, span });
    }

    /// Reports the request, whose response has `status`, at the end of the body.
    pub(super) fn report_request(&mut self, report: RequestReport, status: StatusCode) {
        self.request = Some(PendingRequest { report, status });
    }

    fn poll_bytes(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        let now = self.clock.now();
        if let (Some(since), Some(attempt)) = (self.waiting_since.take(), &mut self.attempt) {
            attempt.elapsed += now.since(since);
        }
        if now >= self.caller_deadline {
            return Poll::Ready(Some(Err(BodyError::Caller)));
        }
        match self.pieces.poll_chunk(cx) {
            Poll::Ready(piece) => Poll::Ready(piece.map(|it| it.map_err(BodyError::Server))),
            Poll::Pending if self.timer.as_mut().poll(cx).is_ready() => {
                Poll::Ready(Some(Err(BodyError::Deadline)))
            }
            Poll::Pending => {
                self.waiting_since = Some(now);
                Poll::Pending
            }
        }
    }

    fn complete(&mut self) {
        if let Some(mut attempt) = self.attempt.take() {
            attempt.guard.finish_after(attempt.outcome, None, attempt.elapsed);
        }
        if let Some(request) = self.request.take() {
            request.report.finish(RequestResult::Answered(request.status));
        }
    }

    fn abort(&mut self, err: &BodyError) {
        // The server was told the deadline of the caller and may stop sending after it.
        let is_server_fault = match err {
            BodyError::Server(_) => self.clock.now() < self.deadline,
            BodyError::Deadline => true,
            BodyError::Caller => false,
        };
        if let Some(mut attempt) = self.attempt.take() {
            let outcome =
                if is_server_fault { ServerOutcome::Broken } else { ServerOutcome::Cancelled };
            if let Some(span) = &attempt.span {
                span.set_error("broken off");
            }
            attempt.guard.finish_after(outcome, None, attempt.elapsed);
        }
        if let Some(request) = self.request.take() {
            request.report.finish(RequestResult::Truncated(err.to_string()));
        }
    }
}

impl Body for EntryBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let body = match self.get_mut() {
            Self::Buffered(body) => {
                let frame = Pin::new(body).poll_frame(cx);
                return frame.map_err(|never| match never {});
            }
            Self::Streamed(body) => body,
        };
        let piece = std::task::ready!(body.poll_bytes(cx));
        match &piece {
            // Hyper does not poll for the end of the body once the content length is reached.
            Some(Ok(_)) if body.pieces.left() == 0 => body.complete(),
            Some(Err(err)) => body.abort(err),
            Some(Ok(_)) | None => {}
        }
        Poll::Ready(piece.map(|it| it.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(body) => body.is_end_stream(),
            Self::Streamed(body) => body.pieces.left() == 0,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(body) => body.size_hint(),
            Self::Streamed(body) => SizeHint::with_exact(body.pieces.left()),
        }
    }
}
