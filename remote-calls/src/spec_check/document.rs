//! The spec as `schematic` reads it: each field with the check that it must pass by itself.

#![allow(dead_code, reason = "fields that only schematic's checks read")]

use schematic::{Config, ValidateError};

/// Largest share of a service that a canary may ever get, in percent: the brief's tenth.
const CANARY_PERCENT_MAX: u32 = 10;
/// Largest part of a replica's cache for copies of shared context, in percent: running requests need the rest.
const CACHE_PERCENT_MAX: u32 = 50;
/// Largest part of a replica's slots that a tier may keep free, in percent.
const KEEP_FREE_PERCENT_MAX: u32 = 90;
/// Longest time limit that a lane may grant, in ms; draining waits this long at most.
const TIME_LIMIT_MS_MAX: u64 = 120_000;
/// Most replicas of a service in a zone; keeps a snapshot of the fleet far below the largest frame.
const REPLICAS_MAX: u32 = 500;
/// Longest name, in bytes.
const NAME_BYTES_MAX: usize = 64;

type Check = Result<(), ValidateError>;

fn require(holds: bool, message: impl Into<String>) -> Check {
    if holds {
        Ok(())
    } else {
        Err(ValidateError::new(message.into()))
    }
}

fn name<P, C>(text: &str, _: &P, _: &C, _: bool) -> Check {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    let holds = !text.is_empty() && text.len() <= NAME_BYTES_MAX && text.bytes().all(allowed);
    require(holds, "must be 1 to 64 letters, digits, '-', '_' or '.'")
}

fn not_empty<T, P, C>(items: &[T], _: &P, _: &C, _: bool) -> Check {
    require(!items.is_empty(), "must not be empty")
}

fn keep_free<P, C>(percent: &u32, _: &P, _: &C, _: bool) -> Check {
    require(
        *percent <= KEEP_FREE_PERCENT_MAX,
        format!("must be at most {KEEP_FREE_PERCENT_MAX}"),
    )
}

fn canary_percent<P, C>(percent: &u32, _: &P, _: &C, _: bool) -> Check {
    require(
        (1..=CANARY_PERCENT_MAX).contains(percent),
        format!("must be 1 to {CANARY_PERCENT_MAX}"),
    )
}

fn time_limit<P, C>(ms: &u64, _: &P, _: &C, _: bool) -> Check {
    require(
        (1..=TIME_LIMIT_MS_MAX).contains(ms),
        format!("must be 1 to {TIME_LIMIT_MS_MAX}"),
    )
}

fn mode<P, C>(mode: &str, _: &P, _: &C, _: bool) -> Check {
    require(
        ["ignore", "read_only", "reconcile", "placed"].contains(&mode),
        "must be ignore, read_only, reconcile or placed",
    )
}

fn path_kind<P, C>(kind: &str, _: &P, _: &C, _: bool) -> Check {
    require(
        ["once", "repeatable", "stream", "stream_resumable"].contains(&kind),
        "must be once, repeatable, stream or stream_resumable",
    )
}

fn path_prefix<P, C>(prefix: &str, _: &P, _: &C, _: bool) -> Check {
    require(
        prefix.starts_with('/') && prefix.ends_with('/'),
        "must begin and end with a slash",
    )
}

fn cache_percent<P, C>(percent: &u32, _: &P, _: &C, _: bool) -> Check {
    require(
        (1..=CACHE_PERCENT_MAX).contains(percent),
        format!("must be 1 to {CACHE_PERCENT_MAX}"),
    )
}

fn replicas<P, C>(count: &u32, _: &P, _: &C, _: bool) -> Check {
    require(
        *count <= REPLICAS_MAX,
        format!("must be at most {REPLICAS_MAX}"),
    )
}

#[derive(Config)]
pub(super) struct ZoneDocument {
    #[setting(validate = name)]
    pub(super) name: String,
}

#[derive(Config)]
pub(super) struct TierDocument {
    #[setting(validate = name)]
    pub(super) name: String,
    rank: u32,
    #[setting(validate = keep_free)]
    keep_free: u32,
}

#[derive(Config)]
pub(super) struct LaneDocument {
    #[setting(validate = name)]
    pub(super) name: String,
    #[setting(validate = time_limit)]
    pub(super) time_limit_ms: u64,
    #[setting(validate = time_limit)]
    pub(super) expected_ms: u64,
}

#[derive(Config)]
pub(super) struct ServiceZoneDocument {
    #[setting(validate = name)]
    pub(super) zone: String,
    #[setting(validate = replicas)]
    pub(super) replicas: u32,
    #[setting(validate = replicas)]
    pub(super) floor: u32,
}

#[derive(Config)]
pub(super) struct EngineDocument {
    slots: u32,
    pub(super) cache_tokens: u64,
    channels: u32,
    health_path: String,
    cold_ms: u64,
    cold_rate: f64,
}

#[derive(Config)]
pub(super) struct ContextDocument {
    pub(super) on: bool,
    #[setting(default = 20, validate = cache_percent)]
    share_percent: u32,
}

#[derive(Config)]
pub(super) struct ShareDocument {
    #[setting(validate = name)]
    pub(super) service: String,
    pub(super) weight: u32,
}

#[derive(Config)]
pub(super) struct PathDocument {
    #[setting(validate = name)]
    lane: String,
    pub(super) host: String,
    #[setting(validate = path_prefix)]
    pub(super) prefix: String,
    #[setting(validate = path_kind)]
    kind: String,
    #[setting(validate = time_limit)]
    time_limit_ms: u64,
    expected_ms: u64,
    gap_ms: u64,
    rank: u32,
    rounds: u32,
    affinity: bool,
    open: bool,
    homes: Vec<String>,
    #[setting(nested, validate = not_empty)]
    pub(super) split: Vec<ShareDocument>,
}

#[derive(Config)]
pub(super) struct LimitsDocument {
    header_bytes: u64,
    body_bytes: u64,
    header_ms: u64,
    idle_ms: u64,
}

/// Keys are checked apart from this document: its errors quote what they find.
#[derive(Config)]
pub(super) struct TenantDocument {
    #[setting(validate = name)]
    name: String,
    rank: Option<u32>,
    homes: Vec<String>,
}

#[derive(Config)]
pub(super) struct AccessDocument {
    #[setting(nested)]
    tenants: Vec<TenantDocument>,
}

#[derive(Config)]
pub(super) struct ServiceDocument {
    #[setting(validate = name)]
    pub(super) name: String,
    #[setting(validate = name)]
    version: String,
    #[setting(validate = mode)]
    mode: String,
    #[setting(nested, validate = not_empty)]
    pub(super) lanes: Vec<LaneDocument>,
    #[setting(nested, validate = not_empty)]
    pub(super) zones: Vec<ServiceZoneDocument>,
    #[setting(nested)]
    pub(super) engine: Option<EngineDocument>,
    #[setting(nested)]
    pub(super) context: Option<ContextDocument>,
}

#[derive(Config)]
pub(super) struct SpecDocument {
    #[setting(nested, validate = not_empty)]
    pub(super) zones: Vec<ZoneDocument>,
    #[setting(nested, validate = not_empty)]
    pub(super) tiers: Vec<TierDocument>,
    #[setting(nested, validate = not_empty)]
    pub(super) services: Vec<ServiceDocument>,
    #[setting(validate = canary_percent)]
    canary_percent: u32,
    #[setting(validate = time_limit)]
    bake_ms: u64,
    release: u64,
    #[setting(nested)]
    pub(super) paths: Vec<PathDocument>,
    #[setting(nested)]
    access: Option<AccessDocument>,
    #[setting(nested)]
    limits: Option<LimitsDocument>,
}
