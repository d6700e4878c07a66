//! The machine service over HTTP.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

use {
    kernel::{Client, client::Call, sync::lock},
    magpie_standin_core::{
        Kv, Machines,
        kv::encode,
        machines::{Faults, Host, Order},
    },
    serde_json::{Value, json},
    std::{
        sync::{Arc, Mutex},
        thread,
        time::{Duration, Instant},
    },
    test_case::test_case,
};

const MAINTENANCE_TIME: Duration = Duration::from_millis(150);
const MACHINES: usize = 6;

/// Machines without workers: each is up or not.
#[derive(Default)]
struct Site {
    down: Mutex<Vec<usize>>,
    ordered: Mutex<Vec<Order>>,
}

impl Host for Site {
    fn names(&self) -> Vec<String> {
        (0..MACHINES).map(|number| format!("m{number}")).collect()
    }

    fn describe(&self, machine: usize) -> Value {
        json!({ "id": format!("w{machine}") })
    }

    fn is_up(&self, machine: usize) -> bool {
        !lock(&self.down).contains(&machine)
    }

    fn take_down(&self, machine: usize) -> bool {
        let is_up = self.is_up(machine);
        lock(&self.down).push(machine);
        is_up
    }

    fn bring_up(&self, machine: usize) {
        lock(&self.down).retain(|other| *other != machine);
    }

    fn ordered(&self, order: &Order) {
        lock(&self.ordered).push(order.clone());
    }
}

struct Rig {
    machines: Machines,
    site: Arc<Site>,
    url: String,
    client: Client,
}

/// A service with a wave 1 of the machines m0 and m1.
fn rig() -> Rig {
    let kv = Kv::default();
    let wave = json!({ "wave": 1, "machines": ["m0", "m1"], "upperLimit": 1 });
    kv.put("op/wave/1", &encode(&wave));
    let site = Arc::new(Site::default());
    let machines = Machines::new(&kv, site.clone(), MAINTENANCE_TIME);
    let url = machines.open(([127, 0, 0, 1], 0).into()).unwrap();
    Rig {
        machines,
        site,
        url,
        client: Client::new(None),
    }
}

impl Rig {
    /// Sends an order. Returns the status; 0 without a response.
    fn order(&self, machine: &str, wave: u64) -> u16 {
        let url = format!("{}/machine-upkeep", self.url);
        let body = json!({ "machine": machine, "wave": wave }).to_string();
        let call = Call {
            method: "POST",
            url: &url,
            headers: &[("lease-holder", "b0"), ("fencing-token", "7")],
            body: body.as_bytes(),
            timeout: Duration::from_secs(5).into(),
        };
        self.client.send(&call).map_or(0, |answer| answer.status)
    }

    fn list(&self, query: &str) -> Value {
        let url = format!("{}/machines{query}", self.url);
        let call = Call {
            method: "GET",
            url: &url,
            headers: &[],
            body: &[],
            timeout: Duration::from_secs(5).into(),
        };
        serde_json::from_slice(&self.client.send(&call).unwrap().body).unwrap()
    }

    fn state(&self, machine: usize) -> String {
        let machine = &self.list("")["machines"][machine];
        machine["state"].as_str().unwrap().to_owned()
    }

    fn set_faults(&self, faults: Faults) {
        self.machines.set_faults(faults);
    }

    /// Waits until this many machines are back from maintenance.
    fn wait_ended(&self, count: usize) {
        let started = Instant::now();
        let ended = || {
            let log = self.machines.log();
            let ended = log.maintenance.iter().filter(|own| own.ended.is_some());
            ended.count()
        };
        while ended() < count {
            assert!(started.elapsed() < Duration::from_secs(10));
            thread::sleep(Duration::from_millis(5));
        }
    }
}

#[test]
fn list_follows_pages() {
    let rig = rig();
    let first = rig.list("");
    let token = first["nextPageToken"].as_str().unwrap();
    let second = rig.list(&format!("?pageToken={token}"));
    let count = |page: &Value| page["machines"].as_array().unwrap().len();
    assert_eq!(count(&first) + count(&second), MACHINES);
    assert_eq!(second["nextPageToken"], Value::Null);
    let last = &second["machines"][count(&second) - 1];
    assert_eq!(last["machine"], "m5");
    assert_eq!(last["id"], "w5");
}

#[test]
fn order_takes_machine_down_once() {
    let rig = rig();
    assert_eq!(rig.order("m0", 1), 200);
    assert_eq!(rig.state(0), "upkeep");
    assert_eq!(rig.order("m0", 1), 200);
    rig.wait_ended(1);
    assert_eq!(rig.state(0), "up");
    assert_eq!(rig.order("m0", 1), 200);
    assert_eq!(rig.state(0), "up");
    let log = rig.machines.log();
    assert_eq!(log.maintenance.len(), 1);
    assert_eq!(
        (log.orders[0].holder.as_str(), log.orders[0].fence),
        ("b0", 7)
    );
    assert_eq!(lock(&rig.site.ordered).len(), 3);
}

#[test_case("m9", 1, 400; "no such machine")]
#[test_case("m2", 1, 409; "not of the wave")]
#[test_case("m0", 2, 409; "no such wave")]
#[test_case("m1", 1, 409; "not up")]
fn order_refused(machine: &str, wave: u64, status: u16) {
    let rig = rig();
    lock(&rig.site.down).push(1);
    assert_eq!(rig.order(machine, wave), status);
    assert!(rig.machines.log().maintenance.is_empty());
}

#[test]
fn order_lost() {
    let rig = rig();
    rig.set_faults(Faults {
        lost: 1,
        ..Faults::default()
    });
    assert_eq!(rig.order("m0", 1), 0);
    assert!(rig.machines.log().maintenance.is_empty());
    assert_eq!(rig.order("m0", 1), 200);
    assert_eq!(rig.machines.log().maintenance.len(), 1);
}

#[test]
fn order_answered_late() {
    let rig = rig();
    rig.set_faults(Faults {
        late: 1,
        answer_delay: Duration::from_millis(300),
        ..Faults::default()
    });
    let started = Instant::now();
    assert_eq!(rig.order("m0", 1), 200);
    assert!(started.elapsed() >= Duration::from_millis(300));
    let log = rig.machines.log();
    assert!(log.maintenance[0].began < started + Duration::from_millis(300));
}

#[test]
fn order_doubled() {
    let rig = rig();
    rig.set_faults(Faults {
        doubled: 1,
        copy_delay: MAINTENANCE_TIME * 2,
        ..Faults::default()
    });
    assert_eq!(rig.order("m0", 1), 200);
    let started = Instant::now();
    while rig.machines.log().orders.len() < 2 {
        assert!(started.elapsed() < Duration::from_secs(10));
        thread::sleep(Duration::from_millis(5));
    }
    let log = rig.machines.log();
    assert!(log.orders[1].is_copy);
    assert_eq!(log.maintenance.len(), 1);
}

#[test]
fn order_carried_out_late() {
    let rig = rig();
    let delay = Duration::from_millis(300);
    rig.set_faults(Faults {
        begin_delay: delay,
        ..Faults::default()
    });
    let started = Instant::now();
    assert_eq!(rig.order("m0", 1), 200);
    let log = rig.machines.log();
    assert!(log.orders[0].at < started + delay);
    assert!(log.maintenance[0].began >= started + delay);
}
