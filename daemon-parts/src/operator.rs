//! Operators' calls as tools make them: to the first control daemon that answers.

use awc::Client;
use remote_calls::{
    Accepted, Call, Fault, KillSwitch, PlanPut, PlanState, ReleasePlan, Spec, SpecPut, SpecState,
    Status, ZoneState, calls, fill,
};
use serde::{Serialize, de::DeserializeOwned};

use crate::{clock, http::call_path, limits::OPERATOR_LIMIT};

pub struct Operator {
    pub client: Client,
    /// Addresses of control daemons, in the order they are asked.
    pub control: Vec<String>,
}

impl Operator {
    pub fn new(control: Vec<String>) -> Self {
        Operator {
            client: Client::builder().disable_timeout().finish(),
            control,
        }
    }

    pub async fn path<B: Serialize, T: DeserializeOwned>(
        &self,
        method: &str,
        path: &str,
        b: Option<&B>,
    ) -> Result<T, Fault> {
        let mut last = Fault::new("unreachable", "call_control", "no control daemon is named");
        for a in &self.control {
            if a.parse::<std::net::SocketAddr>().is_err() {
                return Err(Fault::new(
                    "bad_request",
                    "call_control",
                    format!("{a:?} is no IP:port"),
                )
                .field("control"));
            }
            match call_path(&self.client, a, method, path, b, OPERATOR_LIMIT).await {
                // Only a connection that was never made is certain to have carried nothing.
                Err(f)
                    if b.is_some() && f.code == "unreachable" && !f.message.contains("onnect") =>
                {
                    return Err(Fault::new(
                        "unknown",
                        "read_answer",
                        "the answer was lost; read the key to find out",
                    )
                    .peer(a));
                }
                Err(f) if f.code == "unreachable" || f.code == "disk_failed" => last = f,
                r => return r,
            }
        }
        Err(last)
    }
    pub async fn get<T: DeserializeOwned>(&self, c: Call) -> Result<T, Fault> {
        self.path::<(), T>(c.0, c.1, None).await
    }
    async fn put<B: Serialize>(&self, c: Call, at: &str, b: &B) -> Result<Accepted, Fault> {
        self.path(c.0, &fill(c, at), Some(b)).await
    }
    pub async fn status(&self) -> Result<Status, Fault> {
        self.get(calls::STATUS).await
    }
    pub async fn spec(&self) -> Result<SpecState, Fault> {
        self.get(calls::SPEC_GET).await
    }
    /// Replaces the spec; without `expect` the version read just before must still stand.
    pub async fn put_spec(&self, spec: Spec, expect: Option<u64>) -> Result<Accepted, Fault> {
        let expect_version = match expect {
            Some(v) => v,
            None => self.spec().await?.version,
        };
        self.put(
            calls::SPEC_PUT,
            "",
            &SpecPut {
                expect_version,
                spec,
            },
        )
        .await
    }
    pub async fn plan(&self, service: &str) -> Result<PlanState, Fault> {
        self.path::<(), _>(calls::PLAN_GET.0, &fill(calls::PLAN_GET, service), None)
            .await
    }
    /// Moves a service to a version within so many seconds.
    pub async fn put_plan(
        &self,
        service: &str,
        target: &str,
        within: u64,
        expect: Option<u64>,
    ) -> Result<Accepted, Fault> {
        let expect_version = match expect {
            Some(v) => v,
            None => self.plan(service).await?.version,
        };
        let plan = ReleasePlan {
            service: service.into(),
            target: target.into(),
            complete_by: clock::wall_s() + within,
            within_s: Some(within),
        };
        self.put(
            calls::PLAN_PUT,
            service,
            &PlanPut {
                expect_version,
                plan,
            },
        )
        .await
    }
    pub async fn put_zone(&self, zone: &str, evacuated: bool) -> Result<Accepted, Fault> {
        self.put(
            calls::ZONE_PUT,
            zone,
            &ZoneState {
                zone: zone.into(),
                evacuated,
            },
        )
        .await
    }
    pub async fn kill_switch(&self, on: bool) -> Result<Accepted, Fault> {
        self.put(calls::KILL_SWITCH_PUT, "", &KillSwitch { on })
            .await
    }
}
