//! YAML parsing of documents and release notes.
//!
//! Each entity is deserialized separately, so that all errors of a document are reported and not only the first one.

use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

use super::{ConfigDocument, ConfigProblem, NoteItem, ReleaseNote, check_document};

/// Top-level sections of a document.
const SECTIONS: [&str; 5] = ["regions", "links", "organisations", "services", "client_blocks"];

/// Parses and validates a document.
pub fn load_document(text: &str) -> Result<ConfigDocument, Vec<ConfigProblem>> {
    let mut fields = read_mapping(text)?;
    let mut problems = Vec::new();
    let document = ConfigDocument {
        regions: read_list(&mut fields, "regions", &mut problems),
        links: read_list(&mut fields, "links", &mut problems),
        organisations: read_list(&mut fields, "organisations", &mut problems),
        services: read_list(&mut fields, "services", &mut problems),
        client_blocks: read_list(&mut fields, "client_blocks", &mut problems),
    };
    reject_unknown_fields(&fields, &SECTIONS, &mut problems);
    // References to an entity that failed to parse would be reported as missing, which hides the actual error.
    if problems.is_empty() {
        problems = check_document(&document);
    }
    if problems.is_empty() { Ok(document) } else { Err(problems) }
}

/// Parses a release note; [`super::apply_note`] checks it against a document.
pub fn load_note(text: &str) -> Result<ReleaseNote, Vec<ConfigProblem>> {
    let mut fields = read_mapping(text)?;
    let mut problems = Vec::new();
    let id = fields.remove("id").and_then(|it| read_value(it, "id", &mut problems));
    let items: Vec<NoteItem> = read_list(&mut fields, "items", &mut problems);
    reject_unknown_fields(&fields, &["id", "items"], &mut problems);
    if id.is_none() && problems.is_empty() {
        problems.push(ConfigProblem::new("id", "", "the identifier of the release note"));
    }
    if items.is_empty() && problems.is_empty() {
        problems.push(ConfigProblem::new("items", "[]", "at least one item"));
    }
    match id {
        Some(id) if problems.is_empty() => Ok(ReleaseNote { id, items }),
        _ => Err(problems),
    }
}

fn read_mapping(text: &str) -> Result<Map<String, Value>, Vec<ConfigProblem>> {
    let value: Value = serde_yaml_ng::from_str(text)
        .map_err(|err| vec![ConfigProblem::new("", err, "a YAML document")])?;
    match value {
        Value::Object(fields) => Ok(fields),
        other => Err(vec![ConfigProblem::new("", other, "a mapping of sections")]),
    }
}

fn read_list<T>(
    fields: &mut Map<String, Value>,
    section: &str,
    problems: &mut Vec<ConfigProblem>,
) -> Vec<T>
where
    T: DeserializeOwned,
{
    match fields.remove(section) {
        None | Some(Value::Null) => Vec::new(),
        Some(Value::Array(values)) => values
            .into_iter()
            .enumerate()
            .filter_map(|(idx, it)| read_value(it, &format!("{section}[{idx}]"), problems))
            .collect(),
        Some(other) => {
            problems.push(ConfigProblem::new(section, other, "a list"));
            Vec::new()
        }
    }
}

fn read_value<T>(value: Value, field: &str, problems: &mut Vec<ConfigProblem>) -> Option<T>
where
    T: DeserializeOwned,
{
    let found = value.clone();
    match serde_path_to_error::deserialize(value) {
        Ok(it) => Some(it),
        Err(err) => {
            let path = err.path().to_string();
            let (field, found) = match path.as_str() {
                "." => (field.to_owned(), found),
                _ => (format!("{field}.{path}"), value_at(&found, &path)),
            };
            problems.push(ConfigProblem::new(field, found, err.into_inner().to_string()));
            None
        }
    }
}

/// Returns the value at a path such as `routes[2].timeout`, or null if there is none.
fn value_at(value: &Value, path: &str) -> Value {
    let pointer = path.replace('[', ".").replace(']', "").replace('.', "/");
    value.pointer(&format!("/{pointer}")).cloned().unwrap_or(Value::Null)
}

fn reject_unknown_fields(
    fields: &Map<String, Value>,
    allowed: &[&str],
    problems: &mut Vec<ConfigProblem>,
) {
    for (name, value) in fields {
        if !allowed.contains(&name.as_str()) {
            let allowed = format!("one of the fields {}", allowed.join(", "));
            problems.push(ConfigProblem::new(name, value, allowed));
        }
    }
}
