//! Cleaning of request targets on arbitrary input.

use arbtest::arbtest;
use sapphireknotd::front::headers::{decode_path, sanitize_query};

/// Pieces that form keys and ambiguous paths, as random bytes rarely do.
const PIECES: [&str; 16] = [
    "api_key",
    "API%5fkey",
    "%61pi_key",
    "=",
    "&",
    ";",
    "%",
    "%25",
    "2e",
    "%2e",
    "/",
    "%2f",
    "..",
    "+",
    "a",
    "\u{e9}",
];

fn check(seed: u64) {
    arbtest(|u| {
        let mut text = String::new();
        while !u.is_empty() {
            text.push_str(u.choose(&PIECES)?);
        }
        let query = sanitize_query(&text);
        for group in query.split(';') {
            let mut names = url::form_urlencoded::parse(group.as_bytes()).map(|(name, _)| name);
            assert!(!names.any(|it| it.eq_ignore_ascii_case("api_key")), "{text:?} -> {query:?}");
        }
        if let Some(path) = decode_path(&format!("/{text}")) {
            let has_dots = path.split('/').any(|it| matches!(it, "." | ".."));
            assert!(!has_dots && !path.contains(['%', '\\']), "{text:?} -> {path:?}");
        }
        Ok(())
    })
    .seed(seed)
    .run();
}

/// Guards against an escaped key that passes, and against panics on broken escapes.
#[test]
fn drops_keys_from_any_query() {
    for seed in 0..400u64 {
        for size in [16, 64, 256] {
            check((seed << 32) | size);
        }
    }
}
