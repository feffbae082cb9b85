//! Checks an operator's spec, as a whole: it passes or is refused with the first field that is wrong.
//!
//! `document` reads each part by itself, with `schematic`; `references` compares parts with each other.

mod document;
mod references;
pub mod tenants;

use std::collections::HashSet;

use schematic::{ConfigError, ConfigLoader};
use serde_json::Value;

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
    let text = text_without_keys(spec).map_err(|error| invalid("spec", error.to_string()))?;
    let mut loader = ConfigLoader::<SpecDocument>::new();
    loader
        .code(text, "spec.json")
        .map_err(|error| invalid("spec", error.to_string()))?;
    match loader.load() {
        Ok(loaded) => {
            references::check(&loaded.config)?;
            check_tenants(spec)
        }
        Err(ConfigError::Validator { error, .. }) => {
            let Some(first) = error.errors.first() else {
                return Err(invalid("spec", "is not valid"));
            };
            Err(invalid(first.path.to_string(), first.message.clone()))
        }
        Err(error) => Err(invalid("spec", error.to_string())),
    }
}

/// The spec as JSON. Errors of the checks below quote what they find, which no tenant's key may be part of.
fn text_without_keys(spec: &Spec) -> serde_json::Result<String> {
    let mut document = serde_json::to_value(spec)?;
    let tenants = document.pointer_mut("/access/tenants");
    for tenant in tenants.and_then(Value::as_array_mut).into_iter().flatten() {
        if let Some(fields) = tenant.as_object_mut() {
            fields.remove("keys");
        }
    }
    serde_json::to_string(&document)
}

/// No two tenants have the same name or a key in common.
fn check_tenants(spec: &Spec) -> Result<(), Fault> {
    let Some(access) = &spec.access else {
        return Ok(());
    };
    let mut names = HashSet::new();
    for (index, tenant) in access.tenants.iter().enumerate() {
        if !names.insert(tenant.name.as_str()) {
            let field = format!("access.tenants[{index}].name");
            return Err(invalid(field, format!("{} stands twice", tenant.name)));
        }
        // Keys are not read back: a spec that was read and put again would take every key away.
        if tenant.keys.is_empty() {
            let field = format!("access.tenants[{index}].keys");
            return Err(invalid(field, format!("{} has no key", tenant.name)));
        }
    }
    match tenants::find_shared_key(&access.tenants) {
        None => Ok(()),
        Some(shared) => {
            let field = format!("access.tenants[{}].keys[{}]", shared.second, shared.key);
            let owner = &access.tenants[shared.first].name;
            let tenant = &access.tenants[shared.second].name;
            Err(invalid(field, format!("{tenant} has a key of {owner}")))
        }
    }
}

#[cfg(test)]
mod tests;
