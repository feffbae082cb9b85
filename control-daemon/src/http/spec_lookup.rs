//! Whether the newest spec has a service or a zone of a name.

use coordination::control::SPEC_KEY;
use daemon_parts::http::FaultResponse;
use remote_calls::{Fault, Spec};

use super::{ControlHandle, read_newest, with_control};

/// What the newest spec has of a name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpecLookup {
    /// There is a spec, and it has the name.
    Found,
    /// There is a spec without the name.
    NotFound,
    /// No spec has been accepted yet.
    NoSpec,
}

/// Looks a name up in the newest spec. A daemon that may have missed the newest says no to nobody.
///
/// # Errors
/// If the name is not known here and no majority answers with the newest spec.
pub async fn look_up_in_spec(
    handle: &ControlHandle,
    name: &str,
    has_name: fn(&Spec, &str) -> bool,
) -> Result<SpecLookup, FaultResponse> {
    let look_up_here = async || -> Result<SpecLookup, FaultResponse> {
        let spec = with_control(handle, |control, _| control.spec()).await?;
        Ok(match spec {
            Some(spec) if has_name(&spec, name) => SpecLookup::Found,
            Some(_) => SpecLookup::NotFound,
            None => SpecLookup::NoSpec,
        })
    };
    if look_up_here().await? == SpecLookup::Found {
        return Ok(SpecLookup::Found);
    }
    read_newest(handle, SPEC_KEY).await?;
    look_up_here().await
}

/// Rejects a name that the newest spec does not have. `kind`: what it names.
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

/// The answer about a name that the spec does not have.
pub(super) fn not_in_spec(kind: &str, name: &str) -> FaultResponse {
    Fault::new(
        "not_found",
        "check_request",
        format!("the spec has no {kind} {name}"),
    )
    .field(kind)
    .into()
}

/// Whether a spec has a service of this name.
pub fn has_service(spec: &Spec, name: &str) -> bool {
    spec.services.iter().any(|service| service.name == name)
}

pub(super) fn has_zone(spec: &Spec, name: &str) -> bool {
    spec.zones.iter().any(|zone| zone.name == name)
}
