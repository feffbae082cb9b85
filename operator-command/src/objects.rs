//! Kubernetes-style objects as configuration: read by `kube-core`, turned into the same calls as all else.

use kube_core::DynamicObject;
use remote_calls::{Fault, Spec, spec_check};
use serde::{Deserialize, de::DeserializeOwned};
use serde_json::Value;

/// The objects' group and version.
const API: &str = "landingslip/v1";

/// What an object asks for.
#[derive(Debug, PartialEq)]
pub enum Wanted {
    Spec(Box<Spec>),
    /// Service, target, seconds.
    Plan(String, String, u64),
    /// Zone, evacuated.
    Zone(String, bool),
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

/// Reads one object, or a list of them; all are checked before any is used.
pub fn read(text: &str) -> Result<Vec<Wanted>, Fault> {
    let bad = |f: &str, m: String| Fault::new("bad_spec", "read_object", m).field(f);
    let v: Value = serde_json::from_str(text).map_err(|e| bad("file", e.to_string()))?;
    let all = match v {
        Value::Array(a) => a,
        one => vec![one],
    };
    all.into_iter()
        .enumerate()
        .map(|(i, v)| one(v).map_err(|f| at(i, f)))
        .collect()
}

fn at(i: usize, f: Fault) -> Fault {
    let field = format!("[{i}].{}", f.field.clone().unwrap_or_default());
    f.field(field)
}

fn one(v: Value) -> Result<Wanted, Fault> {
    let bad = |f: &str, m: String| Fault::new("bad_spec", "read_object", m).field(f);
    let o: DynamicObject = serde_json::from_value(v).map_err(|e| bad("object", e.to_string()))?;
    let Some(t) = o.types else {
        return Err(bad("kind", "needs apiVersion and kind".into()));
    };
    if t.api_version != API {
        return Err(bad("apiVersion", format!("{} is not {API}", t.api_version)));
    }
    let Some(name) = o.metadata.name else {
        return Err(bad("metadata.name", "is missing".into()));
    };
    let Some(data) = o.data.as_object().filter(|d| d.keys().all(|k| k == "spec")) else {
        return Err(bad("object", "has fields besides spec".into()));
    };
    let body = data.get("spec").cloned().unwrap_or(Value::Null);
    fn take<T: DeserializeOwned>(v: Value) -> Result<T, Fault> {
        serde_json::from_value(v)
            .map_err(|e| Fault::new("bad_spec", "read_object", e.to_string()).field("spec"))
    }
    match t.kind.as_str() {
        "Fleet" => {
            let s: Spec = take(body)?;
            spec_check::check(&s)?;
            Ok(Wanted::Spec(Box::new(s)))
        }
        "ReleasePlan" => {
            take(body).map(|p: PlanBody| Wanted::Plan(name, p.target, p.complete_within_seconds))
        }
        "Zone" => take(body).map(|z: ZoneBody| Wanted::Zone(name, z.evacuated)),
        k => Err(bad(
            "kind",
            format!("no kind {k}; there are Fleet, ReleasePlan and Zone"),
        )),
    }
}

#[cfg(test)]
mod tests;
