//! Validates the sample configurations, host settings and release notes.

use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
};

use sapphireknot::config::{ConfigDocument, EntityPath, apply_note, load_document, load_note};
use sapphireknotd::settings::HostSettings;

fn sample_folders() -> Vec<PathBuf> {
    let samples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../samples");
    let entries = fs::read_dir(samples).expect("samples folder is readable");
    let folders: Vec<_> = entries.map(|it| it.expect("entry is readable").path()).collect();
    assert_eq!(folders.len(), 2);
    folders
}

fn read(folder: &Path, file: &str) -> String {
    fs::read_to_string(folder.join(file)).expect("sample is readable")
}

fn document(folder: &Path) -> ConfigDocument {
    load_document(&read(folder, "config.yaml")).expect("sample is valid")
}

/// Guards against a sample configuration that fails validation or no longer has the size of a real deployment.
#[test]
fn documents_have_realistic_sizes() {
    for folder in sample_folders() {
        let document = document(&folder);
        assert_eq!((document.regions.len(), document.links.len()), (3, 6));
        assert!(document.regions.iter().all(|it| it.datacentres.len() == 2));
        assert_eq!((document.organisations.len(), document.services.len()), (8, 4));
        let rates: Vec<_> = document.organisations.iter().map(|it| it.rate.0).collect();
        assert!(rates[0] > 10 * rates[7]);
        for service in &document.services {
            assert!((12..=16).contains(&service.servers.len()));
            let has_realistic_size = |it: &sapphireknot::config::ServerEntry| {
                (3..=5).contains(&it.slots.0) && it.connections == 400
            };
            assert!(service.servers.iter().all(has_realistic_size));
            let addresses: BTreeSet<_> = service.servers.iter().map(|it| it.address).collect();
            assert_eq!(addresses.len(), service.servers.len());
        }
        let routes = || document.services.iter().flat_map(|it| &it.routes);
        assert!(routes().any(|it| it.open) && routes().any(|it| !it.idempotent));
        // Requests of an open route carry no API key, so a repeated run could not be detected.
        assert!(routes().filter(|it| it.open).all(|it| it.idempotent));
        assert!(!document.client_blocks.is_empty());
    }
}

/// Guards against sample settings that the daemon rejects, or that name a region or data centre which the sample
/// configuration does not contain.
#[test]
fn settings_fit_documents() {
    for folder in sample_folders() {
        let settings = HostSettings::load(&read(&folder, "host.yaml")).expect("sample is valid");
        let document = document(&folder);
        assert_eq!(document.region_of(&settings.datacentre), Some(&settings.region));
        assert!(document.regions.iter().any(|it| it.id == settings.platform.store_region));
    }
}

/// Guards against sample notes that cannot be applied in sequence, or that change nothing.
#[test]
fn notes_apply_in_order() {
    for folder in sample_folders() {
        let mut document = document(&folder);
        for kind in ["add", "change", "withdraw", "traffic"] {
            let note = load_note(&read(&folder, &format!("notes/{kind}.yaml"))).expect("valid");
            let changed = apply_note(&document, &note).expect("sample applies");
            assert_ne!(changed, document);
            assert!(apply_note(&changed, &note).is_err() || kind == "change");
            document = changed;
            let is_traffic_plan = |it: &EntityPath| matches!(it, EntityPath::Traffic(_));
            assert_eq!(note.items.iter().any(|it| is_traffic_plan(&it.path())), kind == "traffic");
        }
    }
}
