//! Network partitions between the processes of a soak: each is reached through a relay of ours, which drops frames.

use std::{io, time::Duration};

use platform_stand::machines::{BIND_PORT_OFFSET, Machine, Machines};
use tokio::time::sleep;

use super::{
    history::{Ms, Trouble},
    plan::Direction,
    run::Soak,
};
use crate::link::{Cut, Link};

/// Names of a machine's processes, as their frames bear them.
fn process_names(machine: &Machine) -> Vec<String> {
    machine.processes_at_ports().map(|(name, _)| name).collect()
}

/// A process and the relay in front of it.
pub struct Relayed {
    name: String,
    /// The address that the others know.
    listen: String,
    /// Where the process listens.
    to: String,
}

/// Every process with its relay.
pub fn relayed(machines: &Machines) -> Vec<Relayed> {
    let of_machine = |machine: &Machine| {
        let ip = machine.ip;
        let relayed = machine.processes_at_ports().map(|(name, port)| Relayed {
            name,
            listen: format!("{ip}:{port}"),
            to: format!("{ip}:{}", port + BIND_PORT_OFFSET),
        });
        relayed.collect::<Vec<_>>()
    };
    machines.all.iter().flat_map(of_machine).collect()
}

/// Starts the relays.
pub async fn relay_all(link: &Link, all: Vec<Relayed>) -> io::Result<()> {
    for Relayed { name, listen, to } in all {
        link.relay(&listen, name, to).await?;
    }
    Ok(())
}

/// What is dropped while machines are cut off from all others.
fn cuts_of(machines: &Machines, isolated: &[usize], direction: Direction) -> Vec<Cut> {
    let names_where = |is_inside: bool| {
        let chosen = machines.all.iter().enumerate();
        chosen
            .filter(|(index, _)| isolated.contains(index) == is_inside)
            .flat_map(|(_, machine)| process_names(machine))
            .collect::<Vec<String>>()
    };
    let (inside, outside) = (names_where(true), names_where(false));
    let outbound = Cut {
        from: inside.clone(),
        to: outside.clone(),
    };
    let inbound = Cut {
        from: outside,
        to: inside,
    };
    match direction {
        Direction::Both => vec![outbound, inbound],
        Direction::Outbound => vec![outbound],
        Direction::Inbound => vec![inbound],
    }
}

/// Cuts machines off from all others for so long. What else is done to them goes on.
pub async fn cut_off(s: &Soak, isolated: &[usize], direction: Direction, long: Ms) {
    let cuts = cuts_of(&s.machines.borrow(), isolated, direction);
    let notes: Vec<usize> = isolated
        .iter()
        .map(|machine| s.note(*machine, Trouble::Cut))
        .collect();
    s.link.rules().cuts.extend(cuts.iter().cloned());
    sleep(Duration::from_millis(long)).await;
    for cut in &cuts {
        s.link.rules().end_cut(cut);
    }
    let now = s.now();
    for note in notes {
        s.seen.borrow_mut().events[note].until = now;
    }
}
