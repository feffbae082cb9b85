//! Kubernetes-style objects: read by `kube-core` and turned into the same calls and checks as everything else.

use kube_core::DynamicObject;
use remote_calls::{Fault, Spec, spec_check};
use serde::{Deserialize, de::DeserializeOwned};
use serde_json::Value;

/// Group and version of the objects.
const API_VERSION: &str = "landingslip/v1";

/// What an object asks for.
#[derive(Debug, PartialEq)]
pub enum Object {
    /// A fleet's spec.
    Spec(Box<Spec>),
    /// A release plan.
    Plan {
        /// The service to move.
        service: String,
        /// The version to move it to.
        target: String,
        /// Seconds from now by which it is to be complete.
        within_s: u64,
    },
    /// Whether a zone is evacuated.
    Zone {
        /// The zone.
        zone: String,
        /// Whether all requests are to be taken off it.
        evacuated: bool,
    },
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
struct PlanBody {
    target: String,
    complete_within_seconds: u64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ZoneBody {
    evacuated: bool,
}

fn invalid(field: &str, message: impl Into<String>) -> Fault {
    Fault::new("bad_spec", "read_object", message).field(field)
}

/// Reads one object or a list of them; all are checked before any is used.
///
/// # Errors
/// A [`Fault`] with code `bad_spec` whose field names the object's index and what is wrong in it.
pub fn read(text: &str) -> Result<Vec<Object>, Fault> {
    let document: Value =
        serde_json::from_str(text).map_err(|error| invalid("file", error.to_string()))?;
    let values = match document {
        Value::Array(values) => values,
        value => vec![value],
    };
    values
        .into_iter()
        .enumerate()
        .map(|(index, value)| read_object(value).map_err(|fault| with_index(index, fault)))
        .collect()
}

fn with_index(index: usize, fault: Fault) -> Fault {
    let field = format!("[{index}].{}", fault.field.clone().unwrap_or_default());
    fault.field(field)
}

fn read_object(value: Value) -> Result<Object, Fault> {
    let object: DynamicObject =
        serde_json::from_value(value).map_err(|error| invalid("object", error.to_string()))?;
    let Some(types) = object.types else {
        return Err(invalid("kind", "needs apiVersion and kind"));
    };
    if types.api_version != API_VERSION {
        let message = format!("{} is not {API_VERSION}", types.api_version);
        return Err(invalid("apiVersion", message));
    }
    let Some(name) = object.metadata.name else {
        return Err(invalid("metadata.name", "is missing"));
    };
    let only_spec =
        |fields: &&serde_json::Map<String, Value>| fields.keys().all(|key| key == "spec");
    let Some(fields) = object.data.as_object().filter(only_spec) else {
        return Err(invalid("object", "has fields besides spec"));
    };
    let body = fields.get("spec").cloned().unwrap_or(Value::Null);
    match types.kind.as_str() {
        "Fleet" => {
            let spec: Spec = read_body(body)?;
            spec_check::check(&spec)?;
            Ok(Object::Spec(Box::new(spec)))
        }
        "ReleasePlan" => read_body(body).map(|plan: PlanBody| Object::Plan {
            service: name,
            target: plan.target,
            within_s: plan.complete_within_seconds,
        }),
        "Zone" => read_body(body).map(|zone: ZoneBody| Object::Zone {
            zone: name,
            evacuated: zone.evacuated,
        }),
        kind => Err(invalid(
            "kind",
            format!("no kind {kind}; there are Fleet, ReleasePlan and Zone"),
        )),
    }
}

fn read_body<T: DeserializeOwned>(body: Value) -> Result<T, Fault> {
    serde_json::from_value(body).map_err(|error| invalid("spec", error.to_string()))
}

#[cfg(test)]
mod tests;
