//! The mechanisms behind placement decisions. Each has a name and can be disabled to measure its effect (ablation).

use std::{collections::BTreeSet, fmt, str::FromStr};

use serde::Deserialize;

macro_rules! mechanisms {
    ($($id:ident $name:literal $meaning:literal)*) => {
        /// One mechanism of placement, retries or routing.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum Mechanism {
            $(#[doc = $meaning] $id,)*
        }
        impl Mechanism {
            /// All mechanisms, in the order of the list that operators see.
            pub const ALL: &[Mechanism] = &[$(Mechanism::$id),*];
            /// Returns the name by which a setting disables the mechanism.
            pub fn name(self) -> &'static str {
                match self { $(Mechanism::$id => $name),* }
            }
            /// Returns a one-line description of the mechanism.
            pub fn meaning(self) -> &'static str {
                match self { $(Mechanism::$id => $meaning),* }
            }
        }
    };
}

mechanisms! {
    AgreedOrder "agreed_order" "Proxies rank replicas for a prompt's shared parts in the same order."
    KeptParts "kept_parts" "A replica that lately got a prompt's shared parts is taken to keep them."
    NeededRegions "needed_regions" "Long prompts keep off regions that more urgent, home-bound requests depend on."
    RegionCopy "region_copy" "Shared parts that are asked for often get a copy in each region."
    ToldReadings "told_readings" "Proxies tell each other of long prompts that they sent."
    CarryCost "carry_cost" "A request's bytes cost something where they go to another region."
    Load "load" "Requests that run or wait on a replica cost the next one."
    Filling "filling" "Replicas whose places run short cost more."
    Lag "lag" "First pieces that came late make a replica cost more."
    Doubt "doubt" "A replica that failed a proxy costs more, for the other proxies of its region too."
    Risk "risk" "A replica's share of failed rounds counts by what a failure costs the request."
    RegionReach "region_reach" "A region that gives no sign of life is left alone as a whole."
    ZoneReach "zone_reach" "A zone whose replicas cannot be reached is left alone as a whole."
    ColdRamp "cold_ramp" "Proxies share out what a cold replica bears."
    RateGuard "rate_guard" "No replica gets more than it would bear if it turned cold, while others can take it."
    ChannelsAtHand "channels_at_hand" "Replicas with an open channel are preferred."
    SecondRounds "second_rounds" "A failed request may go to a second replica, within a budget."
    TierPressure "tier_pressure" "Less urgent tiers give way where places run short."
    ContextCopies "context_copies" "Popular shared context stands ready in regions that ask for it."
}

/// Error for a name that no mechanism has.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownMechanism(pub String);

impl fmt::Display for UnknownMechanism {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let known: Vec<&str> = Mechanism::ALL
            .iter()
            .map(|mechanism| mechanism.name())
            .collect();
        write!(
            formatter,
            "{:?} is no mechanism; they are {}",
            self.0,
            known.join(", ")
        )
    }
}
impl std::error::Error for UnknownMechanism {}

impl FromStr for Mechanism {
    type Err = UnknownMechanism;
    fn from_str(name: &str) -> Result<Self, UnknownMechanism> {
        let found = Mechanism::ALL
            .iter()
            .find(|mechanism| mechanism.name() == name);
        found.copied().ok_or_else(|| UnknownMechanism(name.into()))
    }
}

impl<'de> Deserialize<'de> for Mechanism {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let name = String::deserialize(deserializer)?;
        name.parse().map_err(serde::de::Error::custom)
    }
}

/// The set of enabled mechanisms; by default all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Policy {
    disabled_bits: u32,
}

impl Policy {
    /// Returns a policy with all mechanisms except the given ones.
    pub fn without(disabled: impl IntoIterator<Item = Mechanism>) -> Self {
        Policy {
            disabled_bits: disabled
                .into_iter()
                .fold(0, |bits, mechanism| bits | 1 << mechanism as u32),
        }
    }

    /// Whether a mechanism is enabled.
    pub fn is_enabled(self, mechanism: Mechanism) -> bool {
        self.disabled_bits & (1 << mechanism as u32) == 0
    }
}

/// A policy as written in a settings file: `{"without": ["doubt"]}`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
#[derive(Default)]
struct PolicySetting {
    without: BTreeSet<Mechanism>,
}

impl<'de> Deserialize<'de> for Policy {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        Ok(Policy::without(
            PolicySetting::deserialize(deserializer)?.without,
        ))
    }
}

#[cfg(test)]
mod tests;
