//! The rules for maintenance waves, checked on the log of the machine service.

use {
    super::{draw::Request, machine_name},
    crate::{check::Breach, history::Micros},
    standin::machines::{MachineLog, Maintenance, Order},
    std::{collections::BTreeMap, time::Instant},
};

/// What the operators know of a wave that they have requested.
#[derive(Debug, Clone, Copy)]
pub struct Asked {
    /// When it was requested.
    pub at: Instant,
    /// When it first showed as completed.
    pub completed: Option<Instant>,
}

impl Asked {
    /// A wave requested at this time that does not show as completed.
    pub fn at(at: Instant) -> Self {
        Asked {
            at,
            completed: None,
        }
    }
}

/// The subject of the breaches of a wave.
pub fn wave_name(request: &Request) -> String {
    format!("wave-{}", request.number)
}

/// Checks all rules on the requested waves and the log of the machine service. `at` gives the time
/// of the run.
pub fn all(
    waves: &[(&Request, Asked)],
    log: &MachineLog,
    at: impl Fn(Instant) -> Micros,
) -> Vec<Breach> {
    let mut found = Vec::new();
    for (request, asked) in waves {
        found.extend(limit(request, log, &at));
        found.extend(mixed(request, *asked, log, &at));
        found.extend(again(request, log, &at));
    }
    found.extend(one(log, &at));
    found
}

/// The maintenance of a wave's machines, ordered by its beginning.
fn maintenance_of<'a>(
    request: &Request,
    log: &'a MachineLog,
) -> impl Iterator<Item = &'a Maintenance> + Clone {
    let number = request.number;
    log.maintenance.iter().filter(move |own| own.wave == number)
}

/// No maintenance begins while as many machines of its wave as the limit allows are down for it.
fn limit(request: &Request, log: &MachineLog, at: impl Fn(Instant) -> Micros) -> Option<Breach> {
    let own = maintenance_of(request, log);
    for (place, new) in own.clone().enumerate() {
        let is_down = |other: &&Maintenance| other.ended.is_none_or(|ended| ended > new.began);
        let down = own.clone().take(place).filter(is_down);
        let names: Vec<String> = down.map(|other| machine_name(other.machine)).collect();
        if names.len() < request.limit {
            continue;
        }
        let text = format!(
            "{} went down at {} us while {names:?} were down, at most {} may be",
            machine_name(new.machine),
            at(new.began),
            request.limit
        );
        return Some(breach("limit", wave_name(request), text));
    }
    None
}

/// A wave shows as completed only once the maintenance of each of its machines has begun.
fn mixed(
    request: &Request,
    asked: Asked,
    log: &MachineLog,
    at: impl Fn(Instant) -> Micros,
) -> Option<Breach> {
    let completed = asked.completed?;
    let has_begun = |machine: usize| {
        maintenance_of(request, log).any(|own| own.machine == machine && own.began <= completed)
    };
    let mut machines = request.machines.iter();
    let machine = machines.find(|machine| !has_begun(**machine))?;
    let text = format!(
        "completed at {} us before the maintenance of {} began",
        at(completed),
        machine_name(*machine)
    );
    Some(breach("mixed", wave_name(request), text))
}

/// No machine gets its maintenance twice for a wave, unless a fault delivered an order twice.
fn again(request: &Request, log: &MachineLog, at: impl Fn(Instant) -> Micros) -> Option<Breach> {
    let own = maintenance_of(request, log);
    for (place, new) in own.clone().enumerate() {
        let name = machine_name(new.machine);
        let is_copy =
            |order: &Order| order.is_copy && order.wave == request.number && order.machine == name;
        let mut before = own.clone().take(place);
        if before.all(|other| other.machine != new.machine) || log.orders.iter().any(is_copy) {
            continue;
        }
        let text = format!("{name} went down once more at {} us", at(new.began));
        return Some(breach("again", wave_name(request), text));
    }
    None
}

/// Of the orders for one machine none has a lower fencing token than an earlier one, and no two
/// holders have the same token.
fn one(log: &MachineLog, at: impl Fn(Instant) -> Micros) -> Vec<Breach> {
    let mut orders: Vec<&Order> = log.orders.iter().filter(|order| !order.is_copy).collect();
    orders.sort_by_key(|order| order.at);
    let mut highest: BTreeMap<&str, &Order> = BTreeMap::new();
    let mut found = Vec::new();
    for order in orders {
        let former = *highest.entry(&order.machine).or_insert(order);
        let is_shared = order.fence == former.fence && order.holder != former.holder;
        if order.fence >= former.fence && !is_shared {
            highest.insert(&order.machine, order);
            continue;
        }
        let text = format!(
            "{} ordered it with token {} at {} us after {} with token {} at {} us",
            order.holder,
            order.fence,
            at(order.at),
            former.holder,
            former.fence,
            at(former.at)
        );
        found.push(breach("one", order.machine.clone(), text));
    }
    found
}

/// The orders for a wave or a machine and the maintenance that followed, with their times.
pub fn history(
    subject: &str,
    waves: &[(&Request, Asked)],
    log: &MachineLog,
    at: impl Fn(Instant) -> Micros,
) -> Vec<(Micros, String)> {
    let is_of = |wave: u64, machine: &str| {
        subject == machine || subject.strip_prefix("wave-") == Some(&*wave.to_string())
    };
    let mut lines = Vec::new();
    for (request, asked) in waves {
        if wave_name(request) != subject {
            continue;
        }
        lines.push((at(asked.at), "requested".to_owned()));
        if let Some(completed) = asked.completed {
            lines.push((at(completed), "completed".to_owned()));
        }
    }
    for order in &log.orders {
        if !is_of(order.wave, &order.machine) {
            continue;
        }
        let copy = if order.is_copy { ", a copy" } else { "" };
        let text = format!(
            "{} orders {} for wave {} with token {}: {}{copy}",
            order.holder, order.machine, order.wave, order.fence, order.status
        );
        lines.push((at(order.at), text));
    }
    for own in &log.maintenance {
        let name = machine_name(own.machine);
        if !is_of(own.wave, &name) {
            continue;
        }
        lines.push((
            at(own.began),
            format!("{name} goes down for wave {}", own.wave),
        ));
        if let Some(ended) = own.ended {
            lines.push((at(ended), format!("{name} is up again")));
        }
    }
    lines
}

fn breach(rule: &'static str, of: String, text: String) -> Breach {
    Breach { rule, of, text }
}
