//! Parsing and validation of settings trees.

use sapphireknot::config::ConfigProblem;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// Settings with constraints on their fields.
pub trait CheckedSettings: DeserializeOwned {
    /// Returns a problem for every field with an invalid value.
    fn problems(&self) -> Vec<ConfigProblem>;
}

/// Parses the text of a settings file without validating it.
pub fn parse_tree(text: &str) -> Result<Value, Vec<ConfigProblem>> {
    serde_yaml_ng::from_str(text)
        .map_err(|err| vec![ConfigProblem::new("", err, "a YAML document")])
}

/// Deserializes a tree, fills in defaults and validates the result.
pub fn check_tree<T>(tree: Value) -> Result<T, Vec<ConfigProblem>>
where
    T: CheckedSettings,
{
    let settings: T = serde_path_to_error::deserialize(tree).map_err(|err| {
        let field = err.path().to_string();
        vec![ConfigProblem::new(field, "", err.into_inner().to_string())]
    })?;
    let problems = settings.problems();
    if problems.is_empty() { Ok(settings) } else { Err(problems) }
}
