//! Precedence of the command line, the settings file and defaults.

use std::path::{Path, PathBuf};

use sapphireknotd::{
    logging,
    options::{self, DaemonSettings, OptionError},
    settings::HostSettings,
};

fn settings_file(name: &str, extra: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let digest = "0".repeat(64);
    let text = format!(
        "host: entry-1\nregion: east\ndatacentre: east-1\n\
         listen: {{caller: 127.0.0.1:0, peer: 127.0.0.1:0, operator: 127.0.0.1:0}}\n\
         platform: {{store: 127.0.0.1:1, store_region: east, host_list: 127.0.0.1:1}}\n\
         operator_token_sha256: '{digest}'\n{extra}"
    );
    std::fs::write(&path, text).expect("the test directory is writable");
    path
}

fn arguments<'a>(path: &'a Path, rest: &[&'a str]) -> Vec<&'a str> {
    let path = path.to_str().expect("the path is valid UTF-8");
    ["sapphireknotd", "--settings", path].into_iter().chain(rest.iter().copied()).collect()
}

fn unmanaged(settings: DaemonSettings) -> HostSettings {
    match settings {
        DaemonSettings::Standalone(settings) => *settings,
        DaemonSettings::Managed(_) => panic!("expected settings without a managed platform"),
    }
}

/// Guards against a default or a file setting that overrides a source of higher precedence.
#[test]
fn prefers_command_line_then_file_then_defaults() {
    let path = settings_file("order.yaml", "log: {level: warn}\n");
    let settings = unmanaged(options::load(arguments(&path, &[])).unwrap().settings);
    assert_eq!((settings.log.level.as_str(), settings.telemetry.otlp), ("warn", None));
    let rest = ["--log-level", "debug", "--otlp", "127.0.0.1:4317", "--check"];
    let options = options::load(arguments(&path, &rest)).unwrap();
    assert!(options.check);
    let settings = unmanaged(options.settings);
    assert_eq!(settings.log.level, "debug");
    assert_eq!(settings.telemetry.otlp, Some("127.0.0.1:4317".parse().unwrap()));
}

/// Guards against arguments that are not validated, and against a report that contains only the first problem.
#[test]
fn checks_arguments_like_the_file() {
    let path = settings_file("check.yaml", "timing: {long_lease: 1s}\n");
    let err = options::load(arguments(&path, &["--log-level", "loud"])).unwrap_err();
    let OptionError::Settings(problems) = err else { panic!("{err}") };
    let fields: Vec<_> = problems.iter().map(|it| it.field.as_str()).collect();
    assert_eq!(fields, ["log.level", "timing.long_lease"]);
    let err = options::load(arguments(&path, &["--listen-caller", "here"])).unwrap_err();
    assert!(err.to_string().contains("listen.caller"), "{err}");
}

/// Guards against log lines that are not valid JSON, or in which key-value fields replace the standard ones.
#[test]
fn writes_fields_as_json() {
    let fields = [("caller", "127.0.0.1:1"), ("message", "forged \"x\"\n")];
    let record = log::Record::builder()
        .args(format_args!("listening"))
        .level(log::Level::Info)
        .target("daemon")
        .key_values(&fields)
        .build();
    let line: serde_json::Value = serde_json::from_str(&logging::format_line(&record)).unwrap();
    assert_eq!((&line["message"], &line["level"]), (&"listening".into(), &"info".into()));
    assert_eq!(line["caller"], "127.0.0.1:1");
}
