//! Operator calls by tools, made to the first control daemon that answers.

use awc::Client;
use remote_calls::{
    Accepted, Call, Fault, KillSwitch, PlanPut, PlanState, ReleasePlan, Spec, SpecPut, SpecState,
    Status, ZoneState, calls, fill,
};
use serde::{Serialize, de::DeserializeOwned};

use crate::{clock, http::call_path, limits::OPERATOR_CALL_TIMEOUT};

/// A client of the control daemons.
pub struct Operator {
    /// HTTP client.
    pub client: Client,
    /// Addresses of control daemons, in the order in which they are tried.
    pub control: Vec<String>,
}

/// Returns whether a failed call may have been carried out: it certainly was not only if no connection was made.
fn may_have_been_executed(fault: &Fault) -> bool {
    fault.code == "unreachable" && !fault.message.contains("onnect")
}

impl Operator {
    /// Creates a client of the control daemons at these addresses.
    pub fn new(control: Vec<String>) -> Self {
        Operator {
            client: Client::builder().disable_timeout().finish(),
            control,
        }
    }

    /// Calls the first control daemon that answers. A write is not retried at another daemon if the first one may have
    /// executed it.
    ///
    /// # Errors
    /// The daemon's fault; code `unknown` if the response to a write was lost, `unreachable` if no daemon answers.
    pub async fn request<B: Serialize, T: DeserializeOwned>(
        &self,
        method: &str,
        path: &str,
        body: Option<&B>,
    ) -> Result<T, Fault> {
        let mut last_fault =
            Fault::new("unreachable", "call_control", "no control daemon is given");
        for addr in &self.control {
            if addr.parse::<std::net::SocketAddr>().is_err() {
                let message = format!("{addr:?} is not an IP:port");
                return Err(Fault::new("bad_request", "call_control", message).field("control"));
            }
            match call_path(
                &self.client,
                addr,
                method,
                path,
                body,
                OPERATOR_CALL_TIMEOUT,
            )
            .await
            {
                Err(fault) if body.is_some() && may_have_been_executed(&fault) => {
                    let message = "the response was lost; read the key to learn the outcome";
                    return Err(Fault::new("unknown", "read_answer", message).peer(addr));
                }
                Err(fault) if fault.code == "unreachable" || fault.code == "disk_failed" => {
                    last_fault = fault;
                }
                result => return result,
            }
        }
        Err(last_fault)
    }

    /// Makes a call without a body.
    ///
    /// # Errors
    /// As [`Operator::request`].
    pub async fn get<T: DeserializeOwned>(&self, (method, path): Call) -> Result<T, Fault> {
        self.request::<(), T>(method, path, None).await
    }

    async fn put<B: Serialize>(
        &self,
        call: Call,
        parameter: &str,
        body: &B,
    ) -> Result<Accepted, Fault> {
        self.request(call.0, &fill(call, parameter), Some(body))
            .await
    }

    /// Returns the status of the fleet.
    ///
    /// # Errors
    /// As [`Operator::request`].
    pub async fn status(&self) -> Result<Status, Fault> {
        self.get(calls::STATUS).await
    }

    /// Returns the accepted spec and its version.
    ///
    /// # Errors
    /// As [`Operator::request`].
    pub async fn spec(&self) -> Result<SpecState, Fault> {
        self.get(calls::SPEC_GET).await
    }

    /// Replaces the spec. Without `expect`, the version read immediately before must still be current.
    ///
    /// # Errors
    /// As [`Operator::request`]; code `conflict` if another version is current.
    pub async fn put_spec(&self, spec: Spec, expect: Option<u64>) -> Result<Accepted, Fault> {
        let expect_version = match expect {
            Some(version) => version,
            None => self.spec().await?.version,
        };
        let body = SpecPut {
            expect_version,
            spec,
        };
        self.put(calls::SPEC_PUT, "", &body).await
    }

    /// Returns the release plan of a service and its version.
    ///
    /// # Errors
    /// As [`Operator::request`].
    pub async fn plan(&self, service: &str) -> Result<PlanState, Fault> {
        let path = fill(calls::PLAN_GET, service);
        self.request::<(), _>(calls::PLAN_GET.0, &path, None).await
    }

    /// Moves a service to the version `target` within `within` seconds.
    ///
    /// # Errors
    /// As [`Operator::request`]; code `conflict` if another version of the plan is current.
    pub async fn put_plan(
        &self,
        service: &str,
        target: &str,
        within: u64,
        expect: Option<u64>,
    ) -> Result<Accepted, Fault> {
        let expect_version = match expect {
            Some(version) => version,
            None => self.plan(service).await?.version,
        };
        let plan = ReleasePlan {
            service: service.into(),
            target: target.into(),
            complete_by: clock::wall_s() + within,
            within_s: Some(within),
        };
        let body = PlanPut {
            expect_version,
            plan,
        };
        self.put(calls::PLAN_PUT, service, &body).await
    }

    /// Evacuates a zone, or restores it.
    ///
    /// # Errors
    /// As [`Operator::request`].
    pub async fn put_zone(&self, zone: &str, evacuated: bool) -> Result<Accepted, Fault> {
        let body = ZoneState {
            zone: zone.into(),
            evacuated,
        };
        self.put(calls::ZONE_PUT, zone, &body).await
    }

    /// Stops all rollout activity, or allows it again.
    ///
    /// # Errors
    /// As [`Operator::request`].
    pub async fn kill_switch(&self, on: bool) -> Result<Accepted, Fault> {
        self.put(calls::KILL_SWITCH_PUT, "", &KillSwitch { on })
            .await
    }
}
