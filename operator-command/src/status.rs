//! The status of a fleet, as tables for a terminal.

use std::fmt::Write;

use remote_calls::{ContextRecord, RolloutRecord, Status};

/// All tables, one under the other.
pub fn render(status: &Status) -> String {
    let mut text = summary(status);
    text += &members(status);
    text += &keys(status);
    text += &edges(status);
    text += &zones(status);
    text.extend(status.rollouts.iter().map(rollout));
    text.extend(status.contexts.iter().map(shared_context));
    text
}

/// Appends a line. Writing to a string cannot fail.
fn line(text: &mut String, arguments: std::fmt::Arguments) {
    let _ = writeln!(text, "{arguments}");
}

fn summary(status: &Status) -> String {
    format!(
        "daemon {}  member epoch {}  settled {}  hears a majority {}  disk ok {}  kill switch {}\n",
        status.daemon,
        status.member_epoch,
        status.settled,
        status.quorum.unwrap_or_default(),
        status.disk_ok,
        status.kill_switch
    )
}

fn members(status: &Status) -> String {
    let mut text =
        "\nMEMBER       ADDRESS               LIVE   HEARD        EPOCH  SAME\n".to_string();
    for member in &status.members {
        let heard = member
            .heard_ms_ago
            .map_or("never".into(), |ms| format!("{ms} ms ago"));
        let epoch = member
            .member_epoch
            .map_or(String::new(), |epoch| epoch.to_string());
        let same = member
            .same
            .map_or("", |same| if same { "yes" } else { "no" });
        line(
            &mut text,
            format_args!(
                "{:12} {:21} {:<6} {heard:12} {epoch:<6} {same}",
                member.name, member.addr, member.live
            ),
        );
    }
    text
}

fn keys(status: &Status) -> String {
    let mut text = "\nKEY                      OWNER        EPOCH   VERSION  LEASE\n".to_string();
    for key in &status.keys {
        let lease = key
            .permit_ms
            .map_or(String::new(), |left| format!("{left} ms"));
        line(
            &mut text,
            format_args!(
                "{:24} {:12} {:<7} {:<8} {lease}",
                key.key, key.owner, key.epoch, key.version
            ),
        );
    }
    text
}

fn edges(status: &Status) -> String {
    let mut text = "\nEDGE         ZONE         HEARD       SPEC\n".to_string();
    for edge in &status.edges {
        let heard = format!("{} ms ago", edge.heard_ms_ago);
        line(
            &mut text,
            format_args!(
                "{:12} {:12} {heard:<11} {}",
                edge.edge, edge.zone, edge.spec_version
            ),
        );
    }
    text
}

fn zones(status: &Status) -> String {
    let mut text = "\nZONE         STATE\n".to_string();
    for zone in &status.zones {
        let state = if zone.evacuated { "evacuated" } else { "open" };
        line(&mut text, format_args!("{:12} {state}", zone.zone));
    }
    text
}

fn rollout(record: &RolloutRecord) -> String {
    let target = record
        .target
        .as_deref()
        .map_or(String::new(), |target| format!(" target {target}"));
    let forecast = if record.forecast > 0 {
        format!(" complete by {}", record.forecast)
    } else {
        String::new()
    };
    let mut text = format!(
        "\nROLLOUT {} phase {:?} stable {}{target}{forecast} alerts {:?}\n",
        record.service, record.phase, record.stable, record.alerts
    );
    for group in &record.groups {
        let flag = if group.allow_unload {
            " may unload"
        } else {
            ""
        };
        line(
            &mut text,
            format_args!(
                "  {:9} {:12} {:>3}%  {} replicas{flag}",
                format!("{:?}", group.role),
                group.version,
                group.share_percent,
                group.replicas.len()
            ),
        );
    }
    text
}

fn shared_context(record: &ContextRecord) -> String {
    let mut text = format!(
        "\nSHARED CONTEXT {} version {} {} copies\n",
        record.service,
        record.version,
        record.parts.len()
    );
    for part in &record.parts {
        line(
            &mut text,
            format_args!(
                "  {:016x} {:>7} tokens  {:12} {}",
                part.chain,
                part.tokens,
                part.region,
                part.replicas.join(" ")
            ),
        );
    }
    text
}
