//! The bytes of every message, as processes of this wire version write them.
//!
//! Each field of each message holds a value of its own, so that a field that is moved, dropped or read as another one
//! changes the bytes. A change to a message that is meant raises [`WIRE`] and writes the fixture
//! anew: `WRITE_FRAMES=1 cargo test --package wire-messages --test frames`.

use wire_messages::*;

/// Messages in the protocol.
const NUMBER_OF_MESSAGES: usize = 27;

/// One frame a line, in hexadecimal, length prefix included, behind the name of its message.
const FIXTURE: &str = include_str!("fixtures/frames.hex");

/// One instance of every message, and one of each state that a message can carry.
#[rustfmt::skip]
fn instances() -> Vec<Msg> {
    vec![
        Heartbeat { member_epoch: 100001, disk: 10000000002, zone: "zone-3".into(), state: PeerState::Votes, digest: 10000000005 }.into(),
        Heartbeat { member_epoch: 100006, disk: 10000000007, zone: "zone-8".into(), state: PeerState::Blank, digest: 10000000010 }.into(),
        Heartbeat { member_epoch: 100011, disk: 10000000012, zone: "zone-13".into(), state: PeerState::Behind, digest: 10000000015 }.into(),
        Heartbeat { member_epoch: 100016, disk: 10000000017, zone: "zone-18".into(), state: PeerState::Going, digest: 10000000020 }.into(),
        Heartbeat { member_epoch: 100021, disk: 10000000022, zone: "zone-23".into(), state: PeerState::Founding, digest: 10000000025 }.into(),
        Heartbeat { member_epoch: 100026, disk: 10000000027, zone: "zone-28".into(), state: PeerState::New, digest: 10000000030 }.into(),
        Heartbeat { member_epoch: 100031, disk: 10000000032, zone: "zone-33".into(), state: PeerState::StandsBy, digest: 10000000035 }.into(),
        Prepare { key: "key-36".into(), epoch: 10000000037, member_epoch: 100038 }.into(),
        Promise { epoch: 10000000039, member_epoch: 100040, ok: 41, wait: 100042, slot: Slot { key: "key-44".into(), promised: 10000000045, epoch: 10000000046, version: 10000000047, committed: 10000000048, value: Blob(vec![49, 50]), past: List(vec![Replaced { release: 10000000052, digest: 1180591620717411303477 }, Replaced { release: 10000000055, digest: 1180591620717411303480 }]) } }.into(),
        Accept { key: "key-57".into(), epoch: 10000000058, version: 10000000059, value: Blob(vec![60, 61]), past: List(vec![Replaced { release: 10000000063, digest: 1180591620717411303488 }, Replaced { release: 10000000066, digest: 1180591620717411303491 }]), member_epoch: 100068 }.into(),
        Accepted { key: "key-69".into(), epoch: 10000000070, version: 10000000071, promised: 10000000072, member_epoch: 100073, ok: 74 }.into(),
        Commit { change: Change { key: "key-76".into(), epoch: 10000000077, version: 10000000078, value: Blob(vec![79, 80]) }, past: List(vec![Replaced { release: 10000000082, digest: 1180591620717411303507 }, Replaced { release: 10000000085, digest: 1180591620717411303510 }]) }.into(),
        Renew { keys: List(vec![Held { key: "key-89".into(), epoch: 10000000090 }, Held { key: "key-92".into(), epoch: 10000000093 }]), sent: 10000000094, member_epoch: 100095 }.into(),
        Renewed { keys: List(vec![Held { key: "key-98".into(), epoch: 10000000099 }, Held { key: "key-101".into(), epoch: 10000000102 }]), sent: 10000000103, member_epoch: 100104 }.into(),
        Forward { token: 10000000105, key: "key-106".into(), expect: 10000000107, compare: Compare::Version, value: Blob(vec![109, 110]) }.into(),
        Forward { token: 10000000110, key: "key-111".into(), expect: 10000000112, compare: Compare::Since, value: Blob(vec![114, 115]) }.into(),
        Forward { token: 10000000115, key: "key-116".into(), expect: 10000000117, compare: Compare::Release, value: Blob(vec![119, 120]) }.into(),
        Forward { token: 10000000120, key: "key-121".into(), expect: 10000000122, compare: Compare::Read, value: Blob(vec![124, 125]) }.into(),
        Forwarded { token: 10000000125, end: ForwardEnd::Accepted, version: 10000000127, why: "why-128".into() }.into(),
        Forwarded { token: 10000000129, end: ForwardEnd::Conflict, version: 10000000131, why: "why-132".into() }.into(),
        Forwarded { token: 10000000133, end: ForwardEnd::NotAccepted, version: 10000000135, why: "why-136".into() }.into(),
        Forwarded { token: 10000000137, end: ForwardEnd::Unknown, version: 10000000139, why: "why-140".into() }.into(),
        Forwarded { token: 10000000141, end: ForwardEnd::NotOwner, version: 10000000143, why: "why-144".into() }.into(),
        Forwarded { token: 10000000145, end: ForwardEnd::Deposed, version: 10000000147, why: "why-148".into() }.into(),
        Genesis { voters: List(vec![Voter { name: "name-151".into(), disk: 10000000152, addr: "addr-153".into(), zone: "zone-154".into(), since: 100155 }, Voter { name: "name-157".into(), disk: 10000000158, addr: "addr-159".into(), zone: "zone-160".into(), since: 100161 }]) }.into(),
        SlotsAsk { member_epoch: 100162, have: List(vec![Slot { key: "key-165".into(), promised: 10000000166, epoch: 10000000167, version: 10000000168, committed: 10000000169, value: Blob(vec![170, 171]), past: List(vec![Replaced { release: 10000000173, digest: 1180591620717411303598 }, Replaced { release: 10000000176, digest: 1180591620717411303601 }]) }, Slot { key: "key-179".into(), promised: 10000000180, epoch: 10000000181, version: 10000000182, committed: 10000000183, value: Blob(vec![184, 185]), past: List(vec![Replaced { release: 10000000187, digest: 1180591620717411303612 }, Replaced { release: 10000000190, digest: 1180591620717411303615 }]) }]) }.into(),
        Slots { member_epoch: 100192, voting: 193, before: 100194, voters: List(vec![Voter { name: "name-197".into(), disk: 10000000198, addr: "addr-199".into(), zone: "zone-200".into(), since: 100201 }, Voter { name: "name-203".into(), disk: 10000000204, addr: "addr-205".into(), zone: "zone-206".into(), since: 100207 }]), slots: List(vec![Slot { key: "key-210".into(), promised: 10000000211, epoch: 10000000212, version: 10000000213, committed: 10000000214, value: Blob(vec![215, 216]), past: List(vec![Replaced { release: 10000000218, digest: 1180591620717411303643 }, Replaced { release: 10000000221, digest: 1180591620717411303646 }]) }, Slot { key: "key-224".into(), promised: 10000000225, epoch: 10000000226, version: 10000000227, committed: 10000000228, value: Blob(vec![229, 230]), past: List(vec![Replaced { release: 10000000232, digest: 1180591620717411303657 }, Replaced { release: 10000000235, digest: 1180591620717411303660 }]) }]) }.into(),
        Release { keys: List(vec![Held { key: "key-239".into(), epoch: 10000000240 }, Held { key: "key-242".into(), epoch: 10000000243 }]) }.into(),
        Poll { node: Node { name: "name-245".into(), role: 246, zone: "zone-247".into(), addr: "addr-248".into(), http: "http-249".into(), born: 10000000250, beat: 100251, age: 1252 }, life: 10000000253, sent: 10000000254, run: 10000000255, after: 10000000256, since: 10000000257, count: 10000000258, choice: 100259, tallies: List(vec![Tally { service: "service-262".into(), version: "version-263".into(), lane: "lane-264".into(), warm: 9, group: 10, sent: 10000000267, ok: 10000000268, failed: 10000000269, slow: 10000000270, firsts: 10000000271, first_log: 10000000272, failed_on: 10000000273, new_ended: 10000000274, new_failed: 10000000275, new_slow: 10000000276 }, Tally { service: "service-278".into(), version: "version-279".into(), lane: "lane-280".into(), warm: 25, group: 26, sent: 10000000283, ok: 10000000284, failed: 10000000285, slow: 10000000286, firsts: 10000000287, first_log: 10000000288, failed_on: 10000000289, new_ended: 10000000290, new_failed: 10000000291, new_slow: 10000000292 }]), opens: List(vec![Open { replica: "replica-295".into(), version: "version-296".into(), streams: 100297 }, Open { replica: "replica-299".into(), version: "version-300".into(), streams: 100301 }]), news: 46, seen: List(vec![Change { key: "key-305".into(), epoch: 10000000306, version: 10000000307, value: Blob(vec![52, 53]) }, Change { key: "key-310".into(), epoch: 10000000311, version: 10000000312, value: Blob(vec![57, 58]) }]) }.into(),
        News { sent: 10000000314, run: 10000000315, upto: 10000000316, count: 10000000317, choice: 100318, counts: List(vec!["counts-320".into(), "counts-321".into()]), full: 66, settled: 67, voters: 100324, changes: List(vec![Change { key: "key-327".into(), epoch: 10000000328, version: 10000000329, value: Blob(vec![74, 75]) }, Change { key: "key-332".into(), epoch: 10000000333, version: 10000000334, value: Blob(vec![79, 80]) }]), leases: List(vec![Lease { service: "service-338".into(), epoch: 10000000339, version: 10000000340, canary_share: 100341, ttl: 100342 }, Lease { service: "service-344".into(), epoch: 10000000345, version: 10000000346, canary_share: 100347, ttl: 100348 }]) }.into(),
        Shuffle { nodes: List(vec![Node { name: "name-351".into(), role: 96, zone: "zone-353".into(), addr: "addr-354".into(), http: "http-355".into(), born: 10000000356, beat: 100357, age: 1358 }, Node { name: "name-360".into(), role: 105, zone: "zone-362".into(), addr: "addr-363".into(), http: "http-364".into(), born: 10000000365, beat: 100366, age: 1367 }]), beats: List(vec![Heard { node: 100370, beat: 100371, age: 1372 }, Heard { node: 100374, beat: 100375, age: 1376 }]), wants: List(vec![100378, 100379]), answer: 124 }.into(),
        Digests { sent: 10000000381, ranges: List(vec![Range { index: 1384, digest: 10000000385 }, Range { index: 1387, digest: 10000000388 }]) }.into(),
        Mend { sent: 10000000389, changes: List(vec![Change { key: "key-392".into(), epoch: 10000000393, version: 10000000394, value: Blob(vec![139, 140]) }, Change { key: "key-397".into(), epoch: 10000000398, version: 10000000399, value: Blob(vec![144, 145]) }]), answer: 145, indexes: List(vec![Range { index: 1404, digest: 10000000405 }, Range { index: 1407, digest: 10000000408 }]) }.into(),
        Claim { token: 10000000409, request: "request-410".into(), round: 10000000411, void: 156, age: 10000000413 }.into(),
        Claimed { token: 10000000414, state: 159 }.into(),
        ProxyHello { born: 10000000416, http: "http-417".into(), after: 10000000418, upto: 10000000419, tallies: List(vec![Tally { service: "service-422".into(), version: "version-423".into(), lane: "lane-424".into(), warm: 169, group: 170, sent: 10000000427, ok: 10000000428, failed: 10000000429, slow: 10000000430, firsts: 10000000431, first_log: 10000000432, failed_on: 10000000433, new_ended: 10000000434, new_failed: 10000000435, new_slow: 10000000436 }, Tally { service: "service-438".into(), version: "version-439".into(), lane: "lane-440".into(), warm: 185, group: 186, sent: 10000000443, ok: 10000000444, failed: 10000000445, slow: 10000000446, firsts: 10000000447, first_log: 10000000448, failed_on: 10000000449, new_ended: 10000000450, new_failed: 10000000451, new_slow: 10000000452 }]), opens: List(vec![Open { replica: "replica-455".into(), version: "version-456".into(), streams: 100457 }, Open { replica: "replica-459".into(), version: "version-460".into(), streams: 100461 }]) }.into(),
        Board { life: 10000000462, heard: 10000000463, rule: 208, until: 10000000465, full: 210, changes: List(vec![Change { key: "key-469".into(), epoch: 10000000470, version: 10000000471, value: Blob(vec![216, 217]) }, Change { key: "key-474".into(), epoch: 10000000475, version: 10000000476, value: Blob(vec![221, 222]) }]), leases: List(vec![Lent { lease: Lease { service: "service-481".into(), epoch: 10000000482, version: 10000000483, canary_share: 100484, ttl: 100485 }, until: 10000000486 }, Lent { lease: Lease { service: "service-489".into(), epoch: 10000000490, version: 10000000491, canary_share: 100492, ttl: 100493 }, until: 10000000494 }]), nodes: List(vec![Node { name: "name-497".into(), role: 242, zone: "zone-499".into(), addr: "addr-500".into(), http: "http-501".into(), born: 10000000502, beat: 100503, age: 1504 }, Node { name: "name-506".into(), role: 251, zone: "zone-508".into(), addr: "addr-509".into(), http: "http-510".into(), born: 10000000511, beat: 100512, age: 1513 }]) }.into(),
        ClaimAsk { token: 10000000514, request: "request-515".into(), round: 10000000516, void: 5, age: 10000000518 }.into(),
        ClaimTold { token: 10000000519, state: 8 }.into(),
        Readings { by: "by-521".into(), zone: "zone-522".into(), region: "region-523".into(), all: List(vec![Reading { replica: 10000000526, ms: 100527, parts: List(vec![10000000529, 10000000530]) }, Reading { replica: 10000000532, ms: 100533, parts: List(vec![10000000535, 10000000536]) }]), failing: List(vec![10000000538, 10000000539]) }.into(),
        Demand { service: "service-540".into(), parts: List(vec![Popular { version: 10000000543, homes: 10000000544, chain: 10000000545, tokens: 100546, asked: 100547, error: 100548, missed: 100549 }, Popular { version: 10000000551, homes: 10000000552, chain: 10000000553, tokens: 100554, asked: 100555, error: 100556, missed: 100557 }]) }.into(),
    ]
}

fn envelope(msg: Msg) -> Envelope {
    Envelope { from: "sender".into(), addr: "127.0.0.1:4100".into(), msg }
}

fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hexadecimal(text: &str) -> Vec<u8> {
    let digits: Vec<char> = text.chars().collect();
    digits.chunks(2).map(|pair| u8::from_str_radix(&pair.iter().collect::<String>(), 16).unwrap()).collect()
}

fn frame_line(msg: Msg) -> String {
    let name = msg.name();
    format!("{name} {}", hexadecimal(&encode(&envelope(msg)).unwrap()))
}

#[test]
fn every_message_is_written_as_the_fixture_has_it() {
    let written: Vec<String> = instances().into_iter().map(frame_line).collect();
    if std::env::var_os("WRITE_FRAMES").is_some() {
        std::fs::write(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/frames.hex"), written.join("\n") + "\n").unwrap();
        panic!("the fixture was written anew; run again without WRITE_FRAMES");
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
        let frame = from_hexadecimal(digits);
        let length = read_length(frame[..4].try_into().unwrap()).unwrap();
        assert_eq!(length, frame.len() - 4, "{name}");
        let read = decode(&frame[4..]).unwrap();
        assert_eq!(read, envelope(msg), "{name}");
        assert_eq!(hexadecimal(&encode(&read).unwrap()), digits, "{name}");
    }
}

#[test]
fn the_fixture_has_every_message() {
    let names: std::collections::BTreeSet<&str> = FIXTURE.lines().filter_map(|line| line.split(' ').next()).collect();
    assert_eq!(names.len(), NUMBER_OF_MESSAGES);
}
