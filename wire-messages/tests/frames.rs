//! Checks the bytes of every message, as processes of this wire version write them.
//!
//! Each field of each message has a distinct value, so that moving, dropping or confusing fields changes the bytes.
//! An intended change to a message increments [`WIRE_VERSION`] and regenerates the fixture:
//! `WRITE_FRAMES=1 cargo test --package wire-messages --test frames`.

use wire_messages::*;

/// Number of message types in the protocol.
const NUMBER_OF_MESSAGES: usize = 27;

/// One frame per line: the name of its message, then its bytes in hexadecimal, including the length prefix.
const FIXTURE: &str = include_str!("fixtures/frames.hex");

/// Returns an instance of every message, and one for each value of the enums in them.
#[rustfmt::skip]
fn instances() -> Vec<Message> {
    vec![
        Heartbeat { member_epoch: 100001, disk_id: 10000000002, zone: "zone-3".into(), state: PeerState::Voter, committed_digest: 10000000005, hears_receiver: 1, quorum_connected: 0 }.into(),
        Heartbeat { member_epoch: 100006, disk_id: 10000000007, zone: "zone-8".into(), state: PeerState::Blank, committed_digest: 10000000010, hears_receiver: 0, quorum_connected: 1 }.into(),
        Heartbeat { member_epoch: 100011, disk_id: 10000000012, zone: "zone-13".into(), state: PeerState::CatchingUp, committed_digest: 10000000015, hears_receiver: 1, quorum_connected: 1 }.into(),
        Heartbeat { member_epoch: 100016, disk_id: 10000000017, zone: "zone-18".into(), state: PeerState::Stopping, committed_digest: 10000000020, hears_receiver: 0, quorum_connected: 0 }.into(),
        Heartbeat { member_epoch: 100021, disk_id: 10000000022, zone: "zone-23".into(), state: PeerState::Bootstrapping, committed_digest: 10000000025, hears_receiver: 1, quorum_connected: 0 }.into(),
        Heartbeat { member_epoch: 100026, disk_id: 10000000027, zone: "zone-28".into(), state: PeerState::Joiner, committed_digest: 10000000030, hears_receiver: 0, quorum_connected: 1 }.into(),
        Heartbeat { member_epoch: 100031, disk_id: 10000000032, zone: "zone-33".into(), state: PeerState::Learner, committed_digest: 10000000035, hears_receiver: 1, quorum_connected: 1 }.into(),
        Prepare { key: "key-36".into(), epoch: 10000000037, member_epoch: 100038 }.into(),
        Promise { epoch: 10000000039, member_epoch: 100040, granted: 41, retry_after_ms: 100042, slot: Slot { key: "key-44".into(), promised_epoch: 10000000045, accepted_epoch: 10000000046, version: 10000000047, committed_version: 10000000048, value: Blob(vec![49, 50]), replaced: List(vec![ReplacedValue { release: 10000000052, digest: 1180591620717411303477 }, ReplacedValue { release: 10000000055, digest: 1180591620717411303480 }]) } }.into(),
        Accept { key: "key-57".into(), epoch: 10000000058, version: 10000000059, value: Blob(vec![60, 61]), replaced: List(vec![ReplacedValue { release: 10000000063, digest: 1180591620717411303488 }, ReplacedValue { release: 10000000066, digest: 1180591620717411303491 }]), member_epoch: 100068 }.into(),
        Accepted { key: "key-69".into(), epoch: 10000000070, version: 10000000071, promised_epoch: 10000000072, member_epoch: 100073, accepted: 74 }.into(),
        Commit { change: Change { key: "key-76".into(), epoch: 10000000077, version: 10000000078, value: Blob(vec![79, 80]) }, replaced: List(vec![ReplacedValue { release: 10000000082, digest: 1180591620717411303507 }, ReplacedValue { release: 10000000085, digest: 1180591620717411303510 }]) }.into(),
        RenewLeases { keys: List(vec![OwnedKey { key: "key-89".into(), epoch: 10000000090 }, OwnedKey { key: "key-92".into(), epoch: 10000000093 }]), sent_at: 10000000094, member_epoch: 100095 }.into(),
        LeasesRenewed { keys: List(vec![OwnedKey { key: "key-98".into(), epoch: 10000000099 }, OwnedKey { key: "key-101".into(), epoch: 10000000102 }]), request_sent_at: 10000000103, member_epoch: 100104 }.into(),
        ForwardRequest { token: 10000000105, key: "key-106".into(), expected: 10000000107, precondition: Precondition::Version, value: Blob(vec![109, 110]) }.into(),
        ForwardRequest { token: 10000000110, key: "key-111".into(), expected: 10000000112, precondition: Precondition::UnchangedSince, value: Blob(vec![114, 115]) }.into(),
        ForwardRequest { token: 10000000115, key: "key-116".into(), expected: 10000000117, precondition: Precondition::Release, value: Blob(vec![119, 120]) }.into(),
        ForwardRequest { token: 10000000120, key: "key-121".into(), expected: 10000000122, precondition: Precondition::Read, value: Blob(vec![124, 125]) }.into(),
        ForwardReply { token: 10000000125, outcome: ForwardOutcome::Accepted, version: 10000000127, reason: "why-128".into() }.into(),
        ForwardReply { token: 10000000129, outcome: ForwardOutcome::Conflict, version: 10000000131, reason: "why-132".into() }.into(),
        ForwardReply { token: 10000000133, outcome: ForwardOutcome::NotAccepted, version: 10000000135, reason: "why-136".into() }.into(),
        ForwardReply { token: 10000000137, outcome: ForwardOutcome::Unknown, version: 10000000139, reason: "why-140".into() }.into(),
        ForwardReply { token: 10000000141, outcome: ForwardOutcome::NotOwner, version: 10000000143, reason: "why-144".into() }.into(),
        ForwardReply { token: 10000000145, outcome: ForwardOutcome::Deposed, version: 10000000147, reason: "why-148".into() }.into(),
        Bootstrap { voters: List(vec![Voter { name: "name-151".into(), disk_id: 10000000152, addr: "addr-153".into(), zone: "zone-154".into(), since_epoch: 100155 }, Voter { name: "name-157".into(), disk_id: 10000000158, addr: "addr-159".into(), zone: "zone-160".into(), since_epoch: 100161 }]) }.into(),
        SlotsRequest { member_epoch: 100162, known: List(vec![Slot { key: "key-165".into(), promised_epoch: 10000000166, accepted_epoch: 10000000167, version: 10000000168, committed_version: 10000000169, value: Blob(vec![170, 171]), replaced: List(vec![ReplacedValue { release: 10000000173, digest: 1180591620717411303598 }, ReplacedValue { release: 10000000176, digest: 1180591620717411303601 }]) }, Slot { key: "key-179".into(), promised_epoch: 10000000180, accepted_epoch: 10000000181, version: 10000000182, committed_version: 10000000183, value: Blob(vec![184, 185]), replaced: List(vec![ReplacedValue { release: 10000000187, digest: 1180591620717411303612 }, ReplacedValue { release: 10000000190, digest: 1180591620717411303615 }]) }]) }.into(),
        SlotsReply { member_epoch: 100192, voting: 193, previous_voter_count: 100194, voters: List(vec![Voter { name: "name-197".into(), disk_id: 10000000198, addr: "addr-199".into(), zone: "zone-200".into(), since_epoch: 100201 }, Voter { name: "name-203".into(), disk_id: 10000000204, addr: "addr-205".into(), zone: "zone-206".into(), since_epoch: 100207 }]), slots: List(vec![Slot { key: "key-210".into(), promised_epoch: 10000000211, accepted_epoch: 10000000212, version: 10000000213, committed_version: 10000000214, value: Blob(vec![215, 216]), replaced: List(vec![ReplacedValue { release: 10000000218, digest: 1180591620717411303643 }, ReplacedValue { release: 10000000221, digest: 1180591620717411303646 }]) }, Slot { key: "key-224".into(), promised_epoch: 10000000225, accepted_epoch: 10000000226, version: 10000000227, committed_version: 10000000228, value: Blob(vec![229, 230]), replaced: List(vec![ReplacedValue { release: 10000000232, digest: 1180591620717411303657 }, ReplacedValue { release: 10000000235, digest: 1180591620717411303660 }]) }]) }.into(),
        ReleaseLeases { keys: List(vec![OwnedKey { key: "key-239".into(), epoch: 10000000240 }, OwnedKey { key: "key-242".into(), epoch: 10000000243 }]) }.into(),
        Poll { node: Node { name: "name-245".into(), role: 246, zone: "zone-247".into(), addr: "addr-248".into(), http_addr: "http-249".into(), incarnation: 10000000250, heartbeat: 100251, heartbeat_age: 1252 }, proxy_incarnation: 10000000253, sent_at: 10000000254, source_incarnation: 10000000255, after_position: 10000000256, counters_since: 10000000257, counters_through: 10000000258, selection: 10000000259, counters: List(vec![OutcomeCounters { service: "service-262".into(), version: "version-263".into(), lane: "lane-264".into(), cached: 9, group: 10, sent: 10000000267, succeeded: 10000000268, failed: 10000000269, slow: 10000000270, first_chunks: 10000000271, first_chunk_log_sum: 10000000272, failed_replicas: 10000000273, recent_ended: 10000000274, recent_failed: 10000000275, recent_slow: 10000000276 }, OutcomeCounters { service: "service-278".into(), version: "version-279".into(), lane: "lane-280".into(), cached: 25, group: 26, sent: 10000000283, succeeded: 10000000284, failed: 10000000285, slow: 10000000286, first_chunks: 10000000287, first_chunk_log_sum: 10000000288, failed_replicas: 10000000289, recent_ended: 10000000290, recent_failed: 10000000291, recent_slow: 10000000292 }]), open_streams: List(vec![OpenStreams { replica: "replica-295".into(), version: "version-296".into(), streams: 100297 }, OpenStreams { replica: "replica-299".into(), version: "version-300".into(), streams: 100301 }]), has_versions: 46, versions: List(vec![Change { key: "key-305".into(), epoch: 10000000306, version: 10000000307, value: Blob(vec![52, 53]) }, Change { key: "key-310".into(), epoch: 10000000311, version: 10000000312, value: Blob(vec![57, 58]) }]), unreachable_edges_version: 10000000560, report_age_ms: 10000000577, usage: List(vec![ProxyUsage { proxy_incarnation: 10000000558, usage: List(vec![TenantUsage { window: 10000000559, tenant: "tenant-560".into(), count: 10000000561 }, TenantUsage { window: 10000000562, tenant: "tenant-563".into(), count: 10000000564 }]) }, ProxyUsage { proxy_incarnation: 10000000565, usage: List(vec![TenantUsage { window: 10000000566, tenant: "tenant-567".into(), count: 10000000568 }]) }]) }.into(),
        Update { poll_sent_at: 10000000314, source_incarnation: 10000000315, through_position: 10000000316, counters_through: 10000000317, selection: 10000000318, selected_services: List(vec!["counts-320".into(), "counts-321".into()]), is_snapshot: 66, is_settled: 67, voter_count: 10000000324, changes: List(vec![Change { key: "key-327".into(), epoch: 10000000328, version: 10000000329, value: Blob(vec![74, 75]) }, Change { key: "key-332".into(), epoch: 10000000333, version: 10000000334, value: Blob(vec![79, 80]) }]), leases: List(vec![Lease { service: "service-338".into(), epoch: 10000000339, record_version: 10000000340, canary_share_percent: 100341, ttl_ms: 100342 }, Lease { service: "service-344".into(), epoch: 10000000345, record_version: 10000000346, canary_share_percent: 100347, ttl_ms: 100348 }]), unreachable_edges: List(vec![UnreachableEdges { version: 10000000561, edges: List(vec![100562, 100563]) }]), wants_usage: 58, after_position: 10000000582 }.into(),
        Shuffle { nodes: List(vec![Node { name: "name-351".into(), role: 96, zone: "zone-353".into(), addr: "addr-354".into(), http_addr: "http-355".into(), incarnation: 10000000356, heartbeat: 100357, heartbeat_age: 1358 }, Node { name: "name-360".into(), role: 105, zone: "zone-362".into(), addr: "addr-363".into(), http_addr: "http-364".into(), incarnation: 10000000365, heartbeat: 100366, heartbeat_age: 1367 }]), heartbeats: List(vec![NodeHeartbeat { node_digest: 100370, heartbeat: 100371, heartbeat_age: 1372 }, NodeHeartbeat { node_digest: 100374, heartbeat: 100375, heartbeat_age: 1376 }]), wanted: List(vec![100378, 100379]), step: 124 }.into(),
        TableDigests { sent_at: 10000000381, ranges: List(vec![RangeDigest { index: 1384, digest: 10000000385 }, RangeDigest { index: 1387, digest: 10000000388 }]) }.into(),
        Repair { request_sent_at: 10000000389, changes: List(vec![Change { key: "key-392".into(), epoch: 10000000393, version: 10000000394, value: Blob(vec![139, 140]) }, Change { key: "key-397".into(), epoch: 10000000398, version: 10000000399, value: Blob(vec![144, 145]) }]), kind: 145, ranges: List(vec![RangeDigest { index: 1404, digest: 10000000405 }, RangeDigest { index: 1407, digest: 10000000408 }]) }.into(),
        Claim { token: 10000000409, request: "request-410".into(), attempt: 10000000411, void: 156, key_age_ms: 10000000413 }.into(),
        ClaimReply { token: 10000000414, state: 159 }.into(),
        ProxyReport { incarnation: 10000000416, http_addr: "http-417".into(), after_change: 10000000418, through_change: 10000000419, counters: List(vec![OutcomeCounters { service: "service-422".into(), version: "version-423".into(), lane: "lane-424".into(), cached: 169, group: 170, sent: 10000000427, succeeded: 10000000428, failed: 10000000429, slow: 10000000430, first_chunks: 10000000431, first_chunk_log_sum: 10000000432, failed_replicas: 10000000433, recent_ended: 10000000434, recent_failed: 10000000435, recent_slow: 10000000436 }, OutcomeCounters { service: "service-438".into(), version: "version-439".into(), lane: "lane-440".into(), cached: 185, group: 186, sent: 10000000443, succeeded: 10000000444, failed: 10000000445, slow: 10000000446, first_chunks: 10000000447, first_chunk_log_sum: 10000000448, failed_replicas: 10000000449, recent_ended: 10000000450, recent_failed: 10000000451, recent_slow: 10000000452 }]), open_streams: List(vec![OpenStreams { replica: "replica-455".into(), version: "version-456".into(), streams: 100457 }, OpenStreams { replica: "replica-459".into(), version: "version-460".into(), streams: 100461 }]), oldest_usage_window: 10000000570, usage: List(vec![TenantUsage { window: 10000000571, tenant: "tenant-572".into(), count: 10000000573 }, TenantUsage { window: 10000000574, tenant: "tenant-575".into(), count: 10000000576 }]), table_source: 10000000577, table_position: 10000000578 }.into(),
        TableUpdate { proxy_incarnation: 10000000462, counters_through: 10000000463, serving_rule: 208, valid_until: 10000000465, is_snapshot: 210, changes: List(vec![Change { key: "key-469".into(), epoch: 10000000470, version: 10000000471, value: Blob(vec![216, 217]) }, Change { key: "key-474".into(), epoch: 10000000475, version: 10000000476, value: Blob(vec![221, 222]) }]), leases: List(vec![ProxyLease { lease: Lease { service: "service-481".into(), epoch: 10000000482, record_version: 10000000483, canary_share_percent: 100484, ttl_ms: 100485 }, expires_at: 10000000486 }, ProxyLease { lease: Lease { service: "service-489".into(), epoch: 10000000490, record_version: 10000000491, canary_share_percent: 100492, ttl_ms: 100493 }, expires_at: 10000000494 }]), nodes: List(vec![Node { name: "name-497".into(), role: 242, zone: "zone-499".into(), addr: "addr-500".into(), http_addr: "http-501".into(), incarnation: 10000000502, heartbeat: 100503, heartbeat_age: 1504 }, Node { name: "name-506".into(), role: 251, zone: "zone-508".into(), addr: "addr-509".into(), http_addr: "http-510".into(), incarnation: 10000000511, heartbeat: 100512, heartbeat_age: 1513 }]), agent_incarnation: 10000000579, after_position: 10000000580, through_position: 10000000581 }.into(),
        ClaimRequest { token: 10000000514, request: "request-515".into(), attempt: 10000000516, void: 5, key_age_ms: 10000000518 }.into(),
        ClaimResult { token: 10000000519, state: 8 }.into(),
        PrefillReport { proxy: "by-521".into(), zone: "zone-522".into(), region: "region-523".into(), prefills: List(vec![Prefill { replica_number: 10000000526, duration_ms: 100527, blocks: List(vec![10000000529, 10000000530]) }, Prefill { replica_number: 10000000532, duration_ms: 100533, blocks: List(vec![10000000535, 10000000536]) }]), failing_replicas: List(vec![10000000538, 10000000539]) }.into(),
        ContextDemand { service: "service-540".into(), chains: List(vec![ChainDemand { weights_version: 10000000543, homes_digest: 10000000544, chain: 10000000545, tokens: 100546, requests: 100547, overcount: 100548, cache_misses: 100549 }, ChainDemand { weights_version: 10000000551, homes_digest: 10000000552, chain: 10000000553, tokens: 100554, requests: 100555, overcount: 100556, cache_misses: 100557 }]) }.into(),
    ]
}

fn envelope(msg: Message) -> Envelope {
    Envelope {
        from: "sender".into(),
        addr: "127.0.0.1:4100".into(),
        msg,
    }
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(text: &str) -> Vec<u8> {
    let digits: Vec<char> = text.chars().collect();
    digits
        .chunks(2)
        .map(|pair| u8::from_str_radix(&pair.iter().collect::<String>(), 16).unwrap())
        .collect()
}

fn frame_line(msg: Message) -> String {
    let name = msg.name();
    format!("{name} {}", to_hex(&encode(&envelope(msg)).unwrap()))
}

#[test]
fn every_message_is_written_as_the_fixture_has_it() {
    let written: Vec<String> = instances().into_iter().map(frame_line).collect();
    if std::env::var_os("WRITE_FRAMES").is_some() {
        std::fs::write(
            concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/frames.hex"),
            written.join("\n") + "\n",
        )
        .unwrap();
        panic!("the fixture was regenerated; run again without WRITE_FRAMES");
    }
    let expected: Vec<&str> = FIXTURE.lines().collect();
    assert_eq!(written.len(), expected.len(), "frames");
    for (written, expected) in written.iter().zip(expected) {
        assert_eq!(written, expected);
    }
}

#[test]
fn every_frame_of_the_fixture_is_read_as_its_message_and_written_the_same() {
    for (line, msg) in FIXTURE.lines().zip(instances()) {
        let (name, digits) = line.split_once(' ').unwrap();
        let frame = from_hex(digits);
        let length = read_length(frame[..4].try_into().unwrap()).unwrap();
        assert_eq!(length, frame.len() - 4, "{name}");
        let read = decode(&frame[4..]).unwrap();
        assert_eq!(read, envelope(msg), "{name}");
        assert_eq!(to_hex(&encode(&read).unwrap()), digits, "{name}");
    }
}

#[test]
fn the_fixture_has_every_message() {
    let names: std::collections::BTreeSet<&str> = FIXTURE
        .lines()
        .filter_map(|line| line.split(' ').next())
        .collect();
    assert_eq!(names.len(), NUMBER_OF_MESSAGES);
}
