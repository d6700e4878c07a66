//! One simulated worker with its entry in the listing, and the proxy in front of it.

use {
    crate::{plan::HALLS, world::CORES},
    anyhow::{Context, Result},
    kernel::sync::lock,
    serde_json::{Value, json},
    standin::{
        Kv, Runner,
        kv::{decode, encode},
        proxy::Proxy,
        runner::RunLog,
    },
    std::{
        sync::{Arc, Mutex},
        time::Duration,
    },
};

/// Duration of a task whose specification gives none.
const DEFAULT_DURATION: Duration = Duration::from_millis(50);

/// One worker and the proxy in front of it.
pub struct Worker {
    /// The simulated worker.
    pub runner: Runner,
    /// The proxy through which all boxes reach the worker.
    pub proxy: Proxy,
    number: usize,
    kv: Kv,
    life: Mutex<Life>,
    /// Its entry in the listing, at full capacity.
    entry: Value,
}

struct Life {
    /// Number of incarnations so far.
    incarnations: u32,
    /// The machine is down for maintenance: faults neither restart the worker nor list it.
    in_maintenance: bool,
}

impl Worker {
    /// Starts a worker whose entry holds the address of its proxy, and `label` besides the labels
    /// that all workers have.
    ///
    /// # Errors
    ///
    /// A port cannot be opened.
    pub fn open(
        kv: &Kv,
        number: usize,
        label: Option<String>,
        run_log: &Arc<Mutex<RunLog>>,
    ) -> Result<Self> {
        let id = format!("w{number}-1");
        let runner = Runner::open(kv, "pool", &id, CORES, DEFAULT_DURATION, run_log)?;
        let key = entry_key(&id);
        let entry = kv.value(&key).context("a worker has no entry")?;
        let mut entry: Value = serde_json::from_slice(&decode(&entry))?;
        let address = entry["address"].as_str().unwrap_or_default();
        let proxy = Proxy::open(address.parse()?)?;
        entry["address"] = proxy.address().to_string().into();
        entry["zone"] = hall_name(number % HALLS).into();
        if let Some(labels) = entry["labels"].as_array_mut() {
            labels.extend(label.map(Value::from));
        }
        kv.put(&key, &encode(&entry));
        Ok(Worker {
            runner,
            proxy,
            number,
            kv: kv.clone(),
            life: Mutex::new(Life {
                incarnations: 1,
                in_maintenance: false,
            }),
            entry,
        })
    }

    /// The entry in the listing, at full capacity.
    pub fn entry(&self) -> &Value {
        &self.entry
    }

    /// The id of the current incarnation.
    pub fn incarnation(&self) -> String {
        self.runner.id()
    }

    /// Crashes and restarts the worker. Returns the former incarnation, whose entry stays. Has no
    /// effect during maintenance.
    pub fn crash(&self) -> Option<String> {
        let mut life = lock(&self.life);
        if life.in_maintenance {
            return None;
        }
        let old = self.incarnation();
        // The entry may be missing from the listing.
        self.put_entry();
        life.incarnations += 1;
        self.runner
            .restart(&format!("w{}-{}", self.number, life.incarnations));
        Some(old)
    }

    /// Crashes the worker and restarts it under its former id. Its entry is updated unless
    /// `is_entry_late`. Has no effect during maintenance.
    pub fn restart_same_id(&self, is_entry_late: bool) {
        let life = lock(&self.life);
        if life.in_maintenance {
            return;
        }
        self.runner.restart_without_entry(&self.incarnation());
        if !is_entry_late {
            self.put_entry();
        }
    }

    /// Ends the worker for maintenance of its machine and removes its entry. Returns false if it is
    /// not up.
    pub fn begin_maintenance(&self) -> bool {
        let mut life = lock(&self.life);
        if life.in_maintenance || self.runner.is_down() {
            return false;
        }
        life.in_maintenance = true;
        self.runner.power_off();
        self.unlist();
        true
    }

    /// Starts the worker again after maintenance: under its former id, or as a new incarnation.
    pub fn end_maintenance(&self, keeps_id: bool) {
        let mut life = lock(&self.life);
        life.in_maintenance = false;
        if !keeps_id {
            life.incarnations += 1;
        }
        let id = match keeps_id {
            true => self.incarnation(),
            false => format!("w{}-{}", self.number, life.incarnations),
        };
        self.runner.restart_without_entry(&id);
        self.put_entry();
    }

    /// Writes the entry of the current incarnation to the listing, except during maintenance.
    pub fn write_entry(&self) {
        if !lock(&self.life).in_maintenance {
            self.put_entry();
        }
    }

    /// Replaces the entry by an invalid value, except during maintenance.
    pub fn corrupt_entry(&self) {
        if !lock(&self.life).in_maintenance {
            let key = entry_key(&self.incarnation());
            self.kv.put(&key, &encode(&json!({ "service": 7 })));
        }
    }

    /// Removes an incarnation from the listing.
    pub fn remove_entry(&self, incarnation: &str) {
        self.kv.remove(&entry_key(incarnation));
    }

    /// Removes the current incarnation from the listing.
    pub fn unlist(&self) {
        self.remove_entry(&self.incarnation());
    }

    /// Sets the number of cores and updates the entry.
    pub fn resize(&self, cores: u64) {
        self.runner.resize(cores);
        self.write_entry();
    }

    fn put_entry(&self) {
        let key = entry_key(&self.incarnation());
        let mut entry = self.entry.clone();
        // A worker publishes its current capacity, even when another fault has changed its entry in
        // the meantime.
        entry["capacity"]["cpu"] = (self.runner.cores() * 1_000).into();
        entry["born"] = self.runner.start_time().into();
        self.kv.put(&key, &encode(&entry));
    }
}

/// The name of a data hall.
pub fn hall_name(hall: usize) -> String {
    format!("h{hall}")
}

fn entry_key(incarnation: &str) -> String {
    format!("servers/{incarnation}")
}
