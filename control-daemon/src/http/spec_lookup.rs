//! Looks up services and zones by name in the newest spec.

use coordination::control::SPEC_KEY;
use daemon_parts::http::FaultResponse;
use remote_calls::{Fault, Spec};

use super::{ControlHandle, read_newest, with_control};

/// The result of a look-up in the newest spec.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpecLookup {
    /// The spec contains the name.
    Found,
    /// The spec does not contain the name.
    NotFound,
    /// No spec has been accepted yet.
    NoSpec,
}

/// Looks a name up in the newest spec. A daemon that may lack the newest spec never answers that a name is missing.
///
/// # Errors
/// If this daemon's spec lacks the name and no majority answers with the newest spec.
pub async fn look_up_in_spec(
    handle: &ControlHandle,
    name: &str,
    has_name: fn(&Spec, &str) -> bool,
) -> Result<SpecLookup, FaultResponse> {
    let look_up_locally = async || -> Result<SpecLookup, FaultResponse> {
        let spec = with_control(handle, |control, _| control.spec()).await?;
        Ok(match spec {
            Some(spec) if has_name(&spec, name) => SpecLookup::Found,
            Some(_) => SpecLookup::NotFound,
            None => SpecLookup::NoSpec,
        })
    };
    if look_up_locally().await? == SpecLookup::Found {
        return Ok(SpecLookup::Found);
    }
    read_newest(handle, SPEC_KEY).await?;
    look_up_locally().await
}

/// Rejects a name that the newest spec does not contain. `kind` is the kind of entry, such as a service.
pub(super) async fn require(
    handle: &ControlHandle,
    kind: &str,
    name: &str,
    has_name: fn(&Spec, &str) -> bool,
) -> Result<(), FaultResponse> {
    match look_up_in_spec(handle, name, has_name).await? {
        SpecLookup::Found => Ok(()),
        SpecLookup::NotFound => Err(not_in_spec(kind, name)),
        SpecLookup::NoSpec => {
            Err(
                Fault::new("no_spec", "read_spec", "no spec has been accepted yet")
                    .retry(1_000)
                    .into(),
            )
        }
    }
}

/// Returns the answer for a name that the spec does not contain.
pub(super) fn not_in_spec(kind: &str, name: &str) -> FaultResponse {
    Fault::new(
        "not_found",
        "check_request",
        format!("the spec has no {kind} {name}"),
    )
    .field(kind)
    .into()
}

/// Returns whether a spec has a service of this name.
pub fn has_service(spec: &Spec, name: &str) -> bool {
    spec.services.iter().any(|service| service.name == name)
}

pub(super) fn has_zone(spec: &Spec, name: &str) -> bool {
    spec.zones.iter().any(|zone| zone.name == name)
}
