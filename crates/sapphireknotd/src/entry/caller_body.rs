//! Body of a response to a caller.
//!
//! A long body is passed on while it arrives. The request and its attempt are in flight until its last byte is handed to
//! the connection, and only then their ends are reported. A body that breaks off ends the caller's connection before the
//! length that the head told, so that the response cannot look complete.

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
    attempt_ticket::AttemptTicket,
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

/// Why a response breaks off.
#[derive(Debug, Error)]
pub enum PassError {
    /// The backend server broke off.
    #[error("pass on response: {0}")]
    Server(#[from] ExchangeError),
    /// The backend server took too long.
    #[error("pass on response: no further bytes of the backend server in time")]
    Deadline,
    /// The caller took too long.
    #[error("pass on response: the caller reads too slowly")]
    Caller,
}

/// Body of a response to a caller.
pub enum EntryBody {
    /// It is complete.
    Whole(Full<Bytes>),
    /// It is passed on while it arrives.
    Passed(Box<PassedBody>),
}

/// Body that is passed on while it arrives.
pub struct PassedBody {
    pieces: StreamedBody,
    clock: HostClock,
    /// When the server must have sent the rest.
    deadline: MonoTime,
    /// Ends a wait for the server at the deadline.
    timer: Pin<Box<Sleep>>,
    /// When the caller must have taken the rest.
    caller_deadline: MonoTime,
    /// Since when the caller waits for the server.
    waits_since: Option<MonoTime>,
    attempt: Option<AttemptShare>,
    request: Option<RequestShare>,
}

/// What is reported of the attempt at the end.
struct AttemptShare {
    ticket: AttemptTicket,
    /// Outcome of a complete response.
    outcome: ServerOutcome,
    /// Time that the server took so far; that of the caller is not the server's.
    elapsed: Duration,
    span: Option<HopSpan>,
}

/// What is reported of the request at the end.
struct RequestShare {
    report: RequestReport,
    status: StatusCode,
}

impl EntryBody {
    /// A body of which the server must have sent all by `deadline`.
    pub(super) fn new(body: ResponseBody, clock: HostClock, deadline: MonoTime) -> Self {
        match body {
            ResponseBody::Buffered(bytes) => bytes.into(),
            ResponseBody::Streamed(pieces) => Self::Passed(Box::new(PassedBody {
                pieces,
                clock,
                deadline,
                timer: Box::pin(sleep_until(clock.instant(deadline))),
                // As long as a caller may read nothing at all, so that a body of any kind holds its server for no longer.
                caller_deadline: deadline.after(constants::WRITE_TIMEOUT.0),
                waits_since: None,
                attempt: None,
                request: None,
            })),
        }
    }

    /// The body that is passed on while it arrives.
    pub(super) fn passed_mut(&mut self) -> Option<&mut PassedBody> {
        match self {
            Self::Whole(_) => None,
            Self::Passed(body) => Some(body),
        }
    }
}

impl From<Bytes> for EntryBody {
    fn from(bytes: Bytes) -> Self {
        Self::Whole(Full::new(bytes))
    }
}

impl PassedBody {
    /// Reports the end of the attempt at the end of the body; a complete one has the outcome `outcome`.
    pub(super) fn report_attempt(
        &mut self,
        ticket: AttemptTicket,
        outcome: ServerOutcome,
        span: Option<HopSpan>,
    ) {
        let elapsed = ticket.elapsed();
        self.attempt = Some(AttemptShare { ticket, outcome, elapsed, span });
    }

    /// Reports the end of the request, whose response has `status`, at the end of the body.
    pub(super) fn report_request(&mut self, report: RequestReport, status: StatusCode) {
        self.request = Some(RequestShare { report, status });
    }

    fn poll_bytes(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, PassError>>> {
        let now = self.clock.now();
        if let (Some(since), Some(attempt)) = (self.waits_since.take(), &mut self.attempt) {
            attempt.elapsed += now.since(since);
        }
        if now >= self.caller_deadline {
            return Poll::Ready(Some(Err(PassError::Caller)));
        }
        match self.pieces.poll_chunk(cx) {
            Poll::Ready(piece) => Poll::Ready(piece.map(|it| it.map_err(PassError::Server))),
            Poll::Pending if self.timer.as_mut().poll(cx).is_ready() => {
                Poll::Ready(Some(Err(PassError::Deadline)))
            }
            Poll::Pending => {
                self.waits_since = Some(now);
                Poll::Pending
            }
        }
    }

    fn complete(&mut self) {
        if let Some(mut attempt) = self.attempt.take() {
            attempt.ticket.finish_after(attempt.outcome, None, attempt.elapsed);
        }
        if let Some(request) = self.request.take() {
            request.report.finish(RequestResult::Answered(request.status));
        }
    }

    fn break_off(&mut self, err: &PassError) {
        // A server was told when nobody waits any more, and may stop then.
        let is_servers_fault = match err {
            PassError::Server(_) => self.clock.now() < self.deadline,
            PassError::Deadline => true,
            PassError::Caller => false,
        };
        if let Some(mut attempt) = self.attempt.take() {
            let outcome =
                if is_servers_fault { ServerOutcome::Broken } else { ServerOutcome::Cancelled };
            if let Some(span) = &attempt.span {
                span.set_error("broken off");
            }
            attempt.ticket.finish_after(outcome, None, attempt.elapsed);
        }
        if let Some(request) = self.request.take() {
            request.report.finish(RequestResult::BrokenOff(err.to_string()));
        }
    }
}

impl Body for EntryBody {
    type Data = Bytes;
    type Error = PassError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, PassError>>> {
        let body = match self.get_mut() {
            Self::Whole(body) => {
                let frame = Pin::new(body).poll_frame(cx);
                return frame.map_err(|never| match never {});
            }
            Self::Passed(body) => body,
        };
        let piece = std::task::ready!(body.poll_bytes(cx));
        match &piece {
            // The end is not asked for once the length is reached.
            Some(Ok(_)) if body.pieces.left() == 0 => body.complete(),
            Some(Err(err)) => body.break_off(err),
            Some(Ok(_)) | None => {}
        }
        Poll::Ready(piece.map(|it| it.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.is_end_stream(),
            Self::Passed(body) => body.pieces.left() == 0,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Passed(body) => SizeHint::with_exact(body.pieces.left()),
        }
    }
}
