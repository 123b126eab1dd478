//! Removal of keys from queries and decoding of paths, on arbitrary input.

use arbtest::arbtest;
use sapphireknotd::front::headers::{decode_path, sanitize_query};

/// Fragments that combine to API keys and ambiguous paths, which random bytes rarely do.
const FRAGMENTS: [&str; 16] = [
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
            text.push_str(u.choose(&FRAGMENTS)?);
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

/// Guards against a percent-encoded key that is not removed, an ambiguous path that is accepted, and panics on
/// malformed escapes.
#[test]
fn removes_keys_and_rejects_ambiguous_paths() {
    for seed in 0..400u64 {
        for size in [16, 64, 256] {
            check((seed << 32) | size);
        }
    }
}
