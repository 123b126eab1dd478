//! Incremental scanner that finds request heads in the byte stream of a connection.
//!
//! It parses only the framing: where a head ends and where its body ends. Anything unusual (another HTTP version, an
//! upgrade, a repeated length, `Connection: close`) ends the scan, so that the body of a request is never mistaken for
//! a request head. The HTTP library parses the same bytes and has the final say.

use bytes::{Buf, Bytes, BytesMut};
use http::{HeaderName, HeaderValue, Method, Request, Uri, header};

/// Maximum number of headers per request, the same as in the HTTP library.
const MAX_HEADERS: usize = 100;
/// Maximum length of a chunk size line or a trailer line.
const MAX_LINE_BYTES: usize = 1 << 10;

/// Complete request head.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScannedHead {
    /// Bytes of the head, including the empty line.
    pub bytes: Bytes,
    /// Whether a body follows.
    pub has_body: bool,
}

/// Scanner state of one connection.
#[derive(Debug)]
pub struct RequestScanner {
    stage: ScanStage,
    /// Bytes of an incomplete head or line.
    pending: BytesMut,
    max_head_bytes: usize,
}

/// Element of the message to which the next byte belongs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ScanStage {
    Head,
    /// A body with a known length, or the data of a chunk and its line end.
    Data {
        remaining: u64,
        is_chunk: bool,
    },
    ChunkSize,
    Trailer,
    /// The scan has ended; further bytes are ignored.
    Ended,
}

/// Body length declared by a request head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BodyLength {
    Declared(u64),
    Chunked,
}

/// Framing of one request.
#[derive(Debug)]
struct RequestFraming {
    head_bytes: usize,
    body: BodyLength,
    closes_connection: bool,
}

impl ScannedHead {
    /// Parses the head into a request without a body.
    pub fn to_request(&self) -> Option<Request<()>> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Request::new(&mut headers);
        parsed.parse(&self.bytes).ok().filter(httparse::Status::is_complete)?;
        let mut request = Request::new(());
        *request.method_mut() = Method::from_bytes(parsed.method?.as_bytes()).ok()?;
        *request.uri_mut() = parsed.path?.parse::<Uri>().ok()?;
        for header in parsed.headers.iter() {
            let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
            request.headers_mut().append(name, HeaderValue::from_bytes(header.value).ok()?);
        }
        Some(request)
    }
}

impl RequestScanner {
    /// Creates a scanner for a new connection with request heads of at most `max_head_bytes`.
    pub fn new(max_head_bytes: usize) -> Self {
        Self { stage: ScanStage::Head, pending: BytesMut::new(), max_head_bytes }
    }

    /// Whether the scan has ended, so that no further heads are found.
    pub fn is_ended(&self) -> bool {
        self.stage == ScanStage::Ended
    }

    /// Consumes the next bytes and returns the heads that they complete.
    pub fn feed(&mut self, mut bytes: &[u8]) -> Vec<ScannedHead> {
        let mut heads = Vec::new();
        loop {
            match self.stage {
                ScanStage::Ended => return heads,
                ScanStage::Data { remaining, is_chunk } => {
                    let remaining = skip(&mut self.pending, &mut bytes, remaining);
                    if remaining > 0 {
                        self.stage = ScanStage::Data { remaining, is_chunk };
                        return heads;
                    }
                    self.stage = if is_chunk { ScanStage::ChunkSize } else { ScanStage::Head };
                }
                ScanStage::Head | ScanStage::ChunkSize | ScanStage::Trailer => {
                    self.pending.extend_from_slice(bytes);
                    bytes = &[];
                    if self.pending.is_empty() {
                        return heads;
                    }
                    let is_complete = match self.stage {
                        ScanStage::Head => self.parse_head(&mut heads),
                        ScanStage::ChunkSize => self.parse_chunk_size(),
                        _ => self.skip_trailer_line(),
                    };
                    if !is_complete {
                        return heads;
                    }
                }
            }
        }
    }

    fn end(&mut self) {
        self.stage = ScanStage::Ended;
        self.pending = BytesMut::new();
    }

    /// Parses a head from the pending bytes; returns whether it was complete.
    fn parse_head(&mut self, heads: &mut Vec<ScannedHead>) -> bool {
        let framing = match parse_framing(&self.pending) {
            Ok(Some(framing)) => framing,
            Ok(None) if self.pending.len() <= self.max_head_bytes => return false,
            Ok(None) | Err(UnsupportedHead) => {
                self.end();
                return false;
            }
        };
        let bytes = self.pending.split_to(framing.head_bytes).freeze();
        heads.push(ScannedHead { bytes, has_body: framing.body != BodyLength::Declared(0) });
        match framing.body {
            _ if framing.closes_connection => self.end(),
            BodyLength::Declared(0) => {}
            BodyLength::Declared(remaining) => {
                self.stage = ScanStage::Data { remaining, is_chunk: false };
            }
            BodyLength::Chunked => self.stage = ScanStage::ChunkSize,
        }
        true
    }

    /// Parses a chunk size line; returns whether it was complete.
    fn parse_chunk_size(&mut self) -> bool {
        match httparse::parse_chunk_size(&self.pending) {
            Ok(httparse::Status::Complete((line_bytes, size))) => {
                self.pending.advance(line_bytes);
                self.stage = match size {
                    0 => ScanStage::Trailer,
                    _ => ScanStage::Data { remaining: size.saturating_add(2), is_chunk: true },
                };
                true
            }
            Ok(httparse::Status::Partial) if self.pending.len() <= MAX_LINE_BYTES => false,
            Ok(httparse::Status::Partial) | Err(_) => {
                self.end();
                false
            }
        }
    }

    /// Consumes a trailer line; returns whether it was complete.
    fn skip_trailer_line(&mut self) -> bool {
        match self.pending.iter().position(|it| *it == b'\n') {
            Some(end) => {
                let line = self.pending.split_to(end + 1);
                if matches!(line.as_ref(), b"\r\n" | b"\n") {
                    self.stage = ScanStage::Head;
                }
                true
            }
            None if self.pending.len() <= MAX_LINE_BYTES => false,
            None => {
                self.end();
                false
            }
        }
    }
}

/// Skips up to `count` bytes, first of `pending` and then of `bytes`, and returns the number left to skip.
fn skip(pending: &mut BytesMut, bytes: &mut &[u8], count: u64) -> u64 {
    let take = |len: usize, count: u64| len.min(usize::try_from(count).unwrap_or(usize::MAX));
    let first = take(pending.len(), count);
    pending.advance(first);
    let second = take(bytes.len(), count - first as u64);
    bytes.advance(second);
    count - first as u64 - second as u64
}

/// The head is malformed or uses a feature that the scanner does not support.
struct UnsupportedHead;

/// Parses the framing of the head at the start of `bytes`; `None` while the head is incomplete.
fn parse_framing(bytes: &[u8]) -> Result<Option<RequestFraming>, UnsupportedHead> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let head_bytes = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(head_bytes)) => head_bytes,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(UnsupportedHead),
    };
    if parsed.version != Some(1) || parsed.method == Some("CONNECT") {
        return Err(UnsupportedHead);
    }
    let (mut body, mut closes_connection) = (None, false);
    for header in parsed.headers.iter() {
        let is_named = |name: HeaderName| header.name.eq_ignore_ascii_case(name.as_str());
        if is_named(header::UPGRADE) {
            return Err(UnsupportedHead);
        } else if is_named(header::CONNECTION) {
            closes_connection |= has_close_option(header.value);
        } else if is_named(header::CONTENT_LENGTH) {
            let length = parse_content_length(header.value).ok_or(UnsupportedHead)?;
            if body.replace(BodyLength::Declared(length)).is_some() {
                return Err(UnsupportedHead);
            }
        } else if is_named(header::TRANSFER_ENCODING) {
            let is_chunked = header.value.eq_ignore_ascii_case(b"chunked");
            if !is_chunked || body.replace(BodyLength::Chunked).is_some() {
                return Err(UnsupportedHead);
            }
        }
    }
    Ok(Some(RequestFraming {
        head_bytes,
        body: body.unwrap_or(BodyLength::Declared(0)),
        closes_connection,
    }))
}

fn has_close_option(value: &[u8]) -> bool {
    value.split(|it| *it == b',').any(|it| it.trim_ascii().eq_ignore_ascii_case(b"close"))
}

fn parse_content_length(value: &[u8]) -> Option<u64> {
    if value.is_empty() || !value.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(value).ok()?.parse().ok()
}
