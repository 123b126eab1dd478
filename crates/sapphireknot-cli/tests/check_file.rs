//! Tests of the `check` command and of exit codes, without a running host.

use std::{ffi::OsString, fs, path::PathBuf};

use expect_test::expect;
use sapphireknot_cli::{exit::ExitStatus, run};

/// Runs the command line and returns exit status, standard output and standard error.
fn run_cli(args: &[&str]) -> (ExitStatus, String, String) {
    let args = [&["sapphireknot"], args].concat();
    let (mut output, mut errors) = (Vec::new(), Vec::new());
    let status = run(args.into_iter().map(OsString::from), &mut output, &mut errors);
    let text = |bytes| String::from_utf8(bytes).expect("output is UTF-8");
    (status, text(output), text(errors))
}

fn write_file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).expect("temporary folder is writable");
    path
}

const DOCUMENT: &str = "
regions: [{id: north, datacentres: [north-a]}]
organisations: [{id: acme, rate: 10/s, burst: 20}]
services:
  - id: reports
    routes: [{id: fetch, prefix: /, idempotent: true, timeout: 2s}]
    versions: {v1: 100%}
";

/// Guards against a report that stops at the first problem or does not name the field.
#[test]
fn check_reports_every_problem() {
    let text = "
regions: [{id: north, datacentres: [north-a]}, {id: NORTH, datacentres: []}]
organisations: [{id: acme, rate: 10, burst: 20}, {id: other, rate: 1/s, burst: 1, wight: 2}]
services:
  - id: reports
    routes: [{id: fetch, prefix: /, timeout: soon}]
    versions: {v1: 100%}
surplus: 1
";
    let path = write_file("every-problem.yaml", text);
    let (status, output, _) = run_cli(&["check", path.to_str().expect("path is UTF-8")]);
    assert_eq!(status, ExitStatus::Refused);
    let lines = output.replace(path.to_str().expect("path is UTF-8"), "FILE");
    expect![[r#"
        FILE: regions[1].id: found "\"NORTH\"", allowed: region "NORTH" is not 1 to 64 characters of a-z, 0-9, '.', '_' and '-'
        FILE: organisations[0].rate: found "10", allowed: invalid type: integer `10`, expected a string
        FILE: organisations[1].wight: found "2", allowed: unknown field `wight`, expected one of `id`, `rate`, `burst`, `weight`, `keys`
        FILE: services[0].routes[0].timeout: found "\"soon\"", allowed: "soon" is not a span of time such as 250ms, 5s or 30min
        FILE: surplus: found "1", allowed: one of the fields regions, links, organisations, services, client_blocks
    "#]]
    .assert_eq(&lines);
}

/// Guards against a release note that is accepted although some of its items cannot be applied to the document.
#[test]
fn check_applies_note_to_document() {
    let document = write_file("trial-document.yaml", DOCUMENT);
    let note = write_file(
        "trial-note.yaml",
        "
id: note-1
items:
  - add: {organisation: {id: beta, rate: 5/s, burst: 5}}
  - change: {organisation: {id: gone, rate: 5/s, burst: 5}}
  - withdraw: {key: {organisation: acme, key: k1}}
",
    );
    let args =
        ["check", note.to_str().expect("path"), "--document", document.to_str().expect("path")];
    let (status, output, _) = run_cli(&args);
    assert_eq!(status, ExitStatus::Refused);
    assert_eq!(output.lines().count(), 2, "{output}");
    assert!(output.contains("items[1]: found \"organisation/gone\""), "{output}");
    assert!(output.contains("items[2]: found \"key/acme/k1\""), "{output}");
}

/// Guards against changed exit codes, which scripts depend on.
#[test]
fn exit_codes() {
    let document = write_file("exit-document.yaml", DOCUMENT);
    let token = write_file("exit-token", "secret\n");
    let document = document.to_str().expect("path");
    let token = token.to_str().expect("path");
    assert_eq!(run_cli(&["check", document]).0.code(), 0);
    assert_eq!(run_cli(&["check", "no-such-file"]).0.code(), 2);
    assert_eq!(run_cli(&["status", "--host", "nonsense"]).0.code(), 2);
    assert_eq!(run_cli(&["status"]).0.code(), 2, "no token was named");
    let unreachable = ["status", "--host", "127.0.0.1:9", "--token-file", token];
    assert_eq!(run_cli(&unreachable).0.code(), 3);
    let (status, output, errors) = run_cli(&["apply", "--help"]);
    assert_eq!((status.code(), errors.as_str()), (0, ""));
    assert!(output.contains("--wait <SPAN>"), "{output}");
}
