//! Checks an operator's spec, as a whole: it passes or is refused with the first field that is wrong.
//!
//! `document` reads each part by itself, with `schematic`; `references` compares parts with each other.

mod document;
mod references;

use schematic::{ConfigError, ConfigLoader};

use crate::{Fault, Spec};
use document::SpecDocument;

fn invalid(field: impl Into<String>, message: impl Into<String>) -> Fault {
    Fault::new("bad_spec", "check_spec", message).field(field)
}

/// Checks a spec.
///
/// # Errors
/// A [`Fault`] with code `bad_spec` that names the field.
pub fn check(spec: &Spec) -> Result<(), Fault> {
    let text = serde_json::to_string(spec).map_err(|error| invalid("spec", error.to_string()))?;
    let mut loader = ConfigLoader::<SpecDocument>::new();
    loader
        .code(text, "spec.json")
        .map_err(|error| invalid("spec", error.to_string()))?;
    match loader.load() {
        Ok(loaded) => references::check(&loaded.config),
        Err(ConfigError::Validator { error, .. }) => {
            let Some(first) = error.errors.first() else {
                return Err(invalid("spec", "is not valid"));
            };
            Err(invalid(first.path.to_string(), first.message.clone()))
        }
        Err(error) => Err(invalid("spec", error.to_string())),
    }
}

#[cfg(test)]
mod tests;
