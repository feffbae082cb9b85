//! Opens and serves a data folder that an earlier build of the control daemon wrote.
//!
//! `fixtures/layout-5/control.sqlite` comes from one of three daemons of a fleet on loopback that accepted specs, a
//! release plan, an evacuation and its end, the kill switch and a warning. That build's `Disk` also wrote a packed
//! rollout record of 400 replicas and a slot that is accepted but not committed. `expected.json` beside it holds the
//! rows that SQLite reads from the file.

use std::{fs, path::PathBuf};

use control_daemon::disk::{Disk, DiskState};
use coordination::{
    Row,
    bounds::Bounds,
    control::{Control, ControlConfig},
    state_table::parse_native_spec,
};
use googletest::prelude::*;
use remote_calls::{RolloutPhase, RolloutRecord};
use serde::Deserialize;
use wire_messages::{Blob, List, ReplacedValue, Slot, Voter};

const FIXTURE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/layout-5");
/// Number of replicas in the packed record.
const LARGE_RECORD_REPLICAS: usize = 400;

#[derive(Deserialize)]
struct Expected {
    disk: u64,
    member_epoch: u32,
    before: u32,
    voting: bool,
    voters: Vec<(String, u64, String, String, u32)>,
    slots: Vec<ExpectedSlot>,
}

#[derive(Deserialize)]
struct ExpectedSlot {
    key: String,
    promised: u64,
    epoch: u64,
    version: u64,
    committed: u64,
    value: String,
    past: Vec<ExpectedReplaced>,
}

#[derive(Deserialize)]
struct ExpectedReplaced {
    release: u64,
    digest: String,
}

fn bytes(hexadecimal: &str) -> Vec<u8> {
    let digits = hexadecimal.as_bytes().chunks(2);
    digits
        .map(|pair| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap())
        .collect()
}

impl Expected {
    fn read() -> Self {
        serde_json::from_slice(&fs::read(format!("{FIXTURE}/expected.json")).unwrap()).unwrap()
    }

    fn rows(&self) -> Vec<Row> {
        let voters = self
            .voters
            .iter()
            .map(|(name, disk, addr, zone, since)| Voter {
                name: name.as_str().into(),
                disk_id: *disk,
                addr: addr.as_str().into(),
                zone: zone.as_str().into(),
                since_epoch: *since,
            });
        let members = Row::Members {
            member_epoch: self.member_epoch,
            before: self.before,
            voters: voters.collect(),
            voting: self.voting,
            left: false,
        };
        let slots = self.slots.iter().map(|slot| Row::Slot(slot.slot()));
        [members].into_iter().chain(slots).collect()
    }
}

impl ExpectedSlot {
    fn slot(&self) -> Slot {
        let past = self.past.iter().map(|replaced| ReplacedValue {
            release: replaced.release,
            digest: u128::from_str_radix(&replaced.digest, 16).unwrap(),
        });
        Slot {
            key: self.key.as_str().into(),
            promised_epoch: self.promised,
            accepted_epoch: self.epoch,
            version: self.version,
            committed_version: self.committed,
            value: Blob(bytes(&self.value)),
            replaced: List(past.collect()),
        }
    }
}

/// Opens a copy of the fixture with the daemon's disk.
fn opened(name: &str) -> DiskState {
    let folder =
        std::env::temp_dir().join(format!("landingslip-stored-{name}-{}", std::process::id()));
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).unwrap();
    fs::copy(
        format!("{FIXTURE}/control.sqlite"),
        folder.join("control.sqlite"),
    )
    .unwrap();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .unwrap();
    let stored = runtime
        .block_on(Disk::start(PathBuf::from(&folder), 0).open())
        .unwrap();
    let _ = fs::remove_dir_all(&folder);
    stored
}

fn control(rows: Vec<Row>, disk: u64) -> Control {
    let params = ControlConfig {
        name: "control-2".into(),
        zone: "bern".into(),
        addr: "127.101.86.4:46881".into(),
        http_addr: "127.101.86.5:39383".into(),
        members: vec!["control-1".into(), "control-2".into(), "control-3".into()],
        seeds: vec![
            "127.101.86.2:37391".into(),
            "127.101.86.4:46881".into(),
            "127.101.86.6:40027".into(),
        ],
        regions: Default::default(),
        spec_parser: parse_native_spec,
        bootstrap: false,
        bounds: Bounds::default(),
    };
    Control::new(params, disk, rows, 1, 1_000)
}

#[gtest]
fn every_row_is_read_as_it_was_written() {
    let expected = Expected::read();
    let DiskState {
        disk_id: disk,
        is_blank: blank,
        rows,
    } = opened("rows");
    expect_that!((disk, blank), eq((expected.disk, false)));
    expect_that!(rows, container_eq(expected.rows()));
}

#[gtest]
fn every_committed_value_is_served() {
    let expected = Expected::read();
    let DiskState {
        disk_id: disk,
        rows,
        ..
    } = opened("served");
    let control = control(rows, disk);
    for slot in expected
        .slots
        .iter()
        .filter(|slot| slot.version > 0 && slot.committed == slot.version)
    {
        let served = control.state_table().get(&slot.key).unwrap();
        expect_that!(
            (served.epoch, served.version),
            eq((slot.epoch, slot.version)),
            "{}",
            slot.key
        );
        expect_that!(served.value.0, eq(&bytes(&slot.value)), "{}", slot.key);
    }
    let uncommitted: Vec<&str> = expected
        .slots
        .iter()
        .filter(|slot| slot.committed != slot.version)
        .map(|slot| slot.key.as_str())
        .collect();
    expect_that!(uncommitted, container_eq(["zone/bern"]));
    expect_that!(control.state_table().get("zone/bern"), none());
}

#[gtest]
fn specs_records_and_voters_are_decoded() {
    let DiskState {
        disk_id: disk,
        rows,
        ..
    } = opened("decoded");
    let control = control(rows, disk);
    expect_that!(control.spec().unwrap().canary_percent, eq(7));
    let status = control.status(1_000);
    let voters: Vec<&str> = status
        .members
        .iter()
        .map(|member| member.name.as_str())
        .collect();
    expect_that!(
        voters,
        container_eq(["control-1", "control-2", "control-3"])
    );
    let record: RolloutRecord = control.state_table().read("rollout/assistant").unwrap();
    expect_that!(
        (record.phase, record.target.as_deref()),
        eq((RolloutPhase::Canary, Some("v2")))
    );
    let large: RolloutRecord = control.state_table().read("rollout/large").unwrap();
    expect_that!(large.replicas.len(), eq(LARGE_RECORD_REPLICAS));
    expect_that!(status.kill_switch, eq(false));
}

/// Operators' dashboards refer to counters by name.
#[gtest]
fn counters_keep_their_names() {
    let DiskState {
        disk_id: disk,
        rows,
        ..
    } = opened("counters");
    let names: Vec<&str> = control(rows, disk)
        .counters(1_000)
        .into_iter()
        .map(|(name, _)| name)
        .collect();
    let expected = [
        "context_copies",
        "feed_place",
        "keys",
        "edges",
        "keys_uncommitted",
        "member_epoch",
        "quorum",
        "voters",
        "voters_live",
        "voters_behind",
        "in_touch",
        "loops_resting",
        "resolutions_zone",
        "resolutions_region",
        "resolutions_homes",
        "resolutions_fleet",
        "resolutions_none",
        "resolutions_silent",
    ];
    expect_that!(names, container_eq(expected));
}
