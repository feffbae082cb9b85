//! What processes use, as the kernel tells it.

use std::path::Path;

use platform_stand::machines::Machines;

use super::history::Usage;

fn memory_kb(id: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    line.and_then(|l| l.trim().trim_end_matches(" kB").parse().ok())
        .unwrap_or(0)
}

fn descriptors(id: u32) -> u64 {
    std::fs::read_dir(format!("/proc/{id}/fd")).map_or(0, |d| d.count() as u64)
}

fn disk(folder: &Path) -> u64 {
    let files = std::fs::read_dir(folder).into_iter().flatten().flatten();
    files
        .filter_map(|f| f.metadata().ok())
        .map(|m| m.len())
        .sum()
}

/// What every process uses now.
pub fn usage(machines: &Machines) -> Vec<Usage> {
    let of = |m: &platform_stand::machines::Machine| {
        let folder = machines.data(m);
        let name = m.name.clone();
        let rows = m.ids().map(|(role, id)| Usage {
            process: format!("{name}/{role}"),
            memory_kb: memory_kb(id),
            descriptors: descriptors(id),
            disk: if role == "control" { disk(&folder) } else { 0 },
        });
        rows.collect::<Vec<_>>()
    };
    machines.all.iter().flat_map(of).collect()
}
