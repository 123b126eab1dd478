//! Settings of an entry host on a managed platform.

use std::path::PathBuf;

use sapphireknotd::{
    entry::settings::EntrySettings,
    options::{self, DaemonSettings, OptionError},
};

fn sample() -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../deploy/sample-settings.yaml");
    std::fs::read_to_string(path).expect("the sample exists")
}

fn load(name: &str, text: &str, extra_arguments: &[&str]) -> Result<EntrySettings, OptionError> {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("the test directory is writable");
    let path = path.to_str().expect("the path is valid UTF-8").to_owned();
    let first = ["sapphireknotd".to_owned(), "--settings".to_owned(), path];
    let arguments = first.into_iter().chain(extra_arguments.iter().map(|it| (*it).to_owned()));
    match options::load(arguments)?.settings {
        DaemonSettings::Managed(settings) => Ok(*settings),
        DaemonSettings::Standalone(_) => panic!("expected settings for a managed platform"),
    }
}

/// Guards against a sample of the documentation that is not valid.
#[test]
fn valid_sample() {
    let settings = load("entry-sample.yaml", &sample(), &["--log-level", "warn"]).unwrap();
    assert_eq!(settings.host.as_str(), "entry-1");
    assert_eq!(settings.log.level, "warn");
}

/// Guards against a deployment that does not start because it leaves out bounds, here all of them.
#[test]
fn empty_bounds() {
    let text: String = sample()
        .lines()
        .take_while(|it| !it.starts_with("bounds"))
        .fold(String::new(), |text, line| format!("{text}{line}\n"));
    let settings = load("entry-bounds.yaml", &format!("{text}bounds:\n"), &[]).unwrap();
    assert_eq!(settings.bounds.quota_slack, 0);
}

/// Guards against a deployment that does not start because its seeds are absent, or empty as from a template.
#[test]
fn absent_seeds() {
    assert_eq!(load("entry-seeds.yaml", &sample(), &[]).unwrap().seeds.len(), 2);
    let other_fields: String = sample()
        .lines()
        .filter(|it| !it.starts_with("seeds"))
        .fold(String::new(), |text, line| format!("{text}{line}\n"));
    for (name, seeds) in [("absent", ""), ("empty", "seeds: []\n"), ("null", "seeds:\n")] {
        let path = format!("entry-seeds-{name}.yaml");
        let settings = load(&path, &format!("{seeds}{other_fields}"), &[]).unwrap();
        assert!(settings.seeds.is_empty(), "{name}");
    }
}

/// Guards against a memory budget for bodies that ignores the memory of the machine.
#[test]
fn memory_limit() {
    let text = sample();
    assert_eq!(load("entry-memory.yaml", &text, &[]).unwrap().body_bytes(), 65_000_000);
    let text: String =
        text.lines().filter(|it| !it.starts_with("memory")).map(|it| format!("{it}\n")).collect();
    assert_eq!(load("entry-no-memory.yaml", &text, &[]).unwrap().body_bytes(), 64 << 20);
}

/// Guards against problems that are not reported, or reported without their field.
#[test]
fn invalid_fields_are_reported() {
    let text = sample().replace("quota_tolerance: 0.1", "quota_tolerance: 7");
    let text = text.replace("level: info", "level: loud");
    let text = text.replace("datacentre: dub-a", "datacentre: nowhere");
    let text = text.replace("memory: 260MB", "memory: 0MB");
    let err = load("entry-wrong.yaml", &text, &[]).unwrap_err().to_string();
    for field in ["bounds.quota_tolerance", "log.level", "regions", "memory"] {
        assert!(err.contains(field), "{field} is missing in {err}");
    }
    let unknown = sample().replace("listen:", "colour: red\nlisten:");
    let err = load("entry-unknown.yaml", &unknown, &[]).unwrap_err().to_string();
    assert!(err.contains("colour"), "{err}");
}

/// Guards against a capacity that is assumed for a machine without settings, and against a machine with zero cores.
#[test]
fn machine_capacity() {
    let without: String = sample()
        .lines()
        .filter(|it| !["machine", "  cores", "  link_mbps"].iter().any(|name| it.starts_with(name)))
        .fold(String::new(), |text, line| format!("{text}{line}\n"));
    let capacity = |name: &str, machine: &str| {
        let path = format!("entry-machine-{name}.yaml");
        load(&path, &format!("{without}{machine}"), &[]).map(|it| it.capacity().0)
    };
    assert_eq!(load("entry-machine.yaml", &sample(), &[]).unwrap().capacity().0, 200);
    assert_eq!(capacity("absent", "").unwrap(), 0);
    assert_eq!(capacity("null", "machine:\n").unwrap(), 0);
    assert_eq!(capacity("narrow", "machine: {cores: 0.5, link_mbps: 20}\n").unwrap(), 50);
    let refused = capacity("nothing", "machine: {cores: 0, link_mbps: 20}\n").unwrap_err();
    assert!(refused.to_string().contains("machine.cores"), "{refused}");
}
