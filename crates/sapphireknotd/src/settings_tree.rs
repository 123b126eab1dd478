//! Trees of settings: reading them from text and checking them.

use sapphireknot::config::ConfigProblem;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// Settings with bounds on their fields.
pub trait CheckedSettings: DeserializeOwned {
    /// Every field whose value is not allowed.
    fn problems(&self) -> Vec<ConfigProblem>;
}

/// Reads the tree of a settings file without checking it.
pub fn parse_tree(text: &str) -> Result<Value, Vec<ConfigProblem>> {
    serde_yaml_ng::from_str(text)
        .map_err(|err| vec![ConfigProblem::new("", err, "a YAML document")])
}

/// Checks a tree and fills it up with defaults.
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
