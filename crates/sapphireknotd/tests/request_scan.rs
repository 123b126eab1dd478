//! Scanning of request heads in the bytes of a connection.

use arbtest::{
    arbitrary::{Result, Unstructured},
    arbtest,
};
use sapphireknotd::front::request_scan::RequestScanner;

/// Maximum size of a head in bytes.
const MAX_HEAD_BYTES: usize = 1 << 10;

/// Returns the text of a random request, and whether it has a body.
fn draw_request(u: &mut Unstructured<'_>, idx: usize) -> Result<(String, bool)> {
    // The body contains valid request heads, so that a scan with wrong framing returns a head that was never sent.
    let embedded_request = "GET /decoy HTTP/1.1\r\nHost: a\r\n\r\n";
    let body = embedded_request.repeat(u.int_in_range(1..=4)?);
    Ok(match u.int_in_range(0..=3)? {
        0 => (format!("GET /{idx} HTTP/1.1\r\nHost: a\r\n\r\n"), false),
        1 => {
            (format!("POST /{idx} HTTP/1.1\r\nContent-Length: {}\r\n\r\n{body}", body.len()), true)
        }
        2 => {
            let chunk = format!("{:x}\r\n{body}\r\n", body.len());
            let chunks = chunk.repeat(u.int_in_range(0..=3)?);
            let trailer = if u.arbitrary()? { "X-Sum: 1\r\n" } else { "" };
            let head = format!("PUT /{idx} HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
            (format!("{head}{chunks}0\r\n{trailer}\r\n"), true)
        }
        _ => (format!("GET /{idx} HTTP/1.1\r\nContent-Length: 0\r\n\r\n"), false),
    })
}

fn check_scan(u: &mut Unstructured<'_>) -> Result<()> {
    let mut sent = Vec::new();
    let mut expected = Vec::new();
    for idx in 0..u.int_in_range(1..=8)? {
        let (text, has_body) = draw_request(u, idx)?;
        sent.extend_from_slice(text.as_bytes());
        expected.push((format!("/{idx}"), has_body));
    }
    let mut scan = RequestScanner::new(MAX_HEAD_BYTES);
    let mut found = Vec::new();
    let mut rest = sent.as_slice();
    while !rest.is_empty() {
        let count = u.int_in_range(1..=rest.len().min(90))?;
        found.extend(scan.feed(&rest[..count]));
        rest = &rest[count..];
    }
    let found = found
        .iter()
        .map(|it| (it.to_request().expect("valid request").uri().to_string(), it.has_body));
    assert_eq!(found.collect::<Vec<_>>(), expected);
    Ok(())
}

/// Guards against heads that are missed or found inside bodies, for any split of the bytes.
#[test]
fn finds_heads_for_any_split() {
    for seed in 0..200_u64 {
        arbtest(check_scan).seed(seed << 32 | 2_048).run();
    }
}

/// Guards against heads that are returned after framing which HTTP implementations interpret differently.
#[test]
fn ambiguous_framing_ends_scan() {
    let heads = [
        "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\n",
        "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
        "POST / HTTP/1.1\r\nContent-Length: +3\r\n\r\n",
        "GET / HTTP/1.0\r\n\r\n",
        "GET / HTTP/1.1\r\nUpgrade: other\r\n\r\n",
        "CONNECT a:1 HTTP/1.1\r\n\r\n",
        "no request\r\n\r\n",
    ];
    for head in heads {
        let mut scan = RequestScanner::new(MAX_HEAD_BYTES);
        assert!(scan.feed(head.as_bytes()).is_empty(), "{head}");
        assert!(scan.feed(b"GET / HTTP/1.1\r\n\r\n").is_empty(), "{head}");
        assert!(scan.is_ended(), "{head}");
    }
}

/// Guards against heads that are returned after a request that closes the connection.
#[test]
fn connection_close_ends_scan() {
    let mut scan = RequestScanner::new(MAX_HEAD_BYTES);
    let bytes = b"GET /1 HTTP/1.1\r\nConnection: close\r\n\r\nGET /2 HTTP/1.1\r\n\r\n";
    assert_eq!(scan.feed(bytes).len(), 1);
    assert!(scan.is_ended());
}

/// Guards against unbounded memory for a head that never ends.
#[test]
fn oversized_head_ends_scan() {
    let mut scan = RequestScanner::new(MAX_HEAD_BYTES);
    scan.feed(b"GET / HTTP/1.1\r\n");
    for _ in 0..MAX_HEAD_BYTES {
        assert!(scan.feed(b"X: y\r\n").is_empty());
    }
    assert!(scan.is_ended());
}
