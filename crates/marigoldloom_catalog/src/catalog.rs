//! The platform's records as one instance knows them, merged from listings and reported changes.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use marigoldloom_records::version_move::Order;
use marigoldloom_runtime::time::Timestamp;

use crate::configuration::Configuration;
use crate::replica::Replica;
use crate::source::{Kind, Listing, Record};
use crate::view::{Inputs, ReplicaState, View};

/// Time after an outage of the platform in which replicas whose records expired during the outage
/// announce themselves again. The platform specifies about 2 s; the rest is the time until the
/// announcement arrives here.
const EXPIRY_GRACE: Duration = Duration::from_millis(2_500);

/// Time after the return of a failure domain in which its replicas count as cold. Replicas report
/// about every 1.2 s, so that by then each one that has turned cold has said so.
const RETURN_TIME: Duration = Duration::from_secs(3);

/// Time from the platform's return from an older copy until records that are missing since count as
/// removed. The operators write again what they wrote after the copy.
const RESTORE_TIME: Duration = Duration::from_secs(10);

/// Number of invalid records that a log line describes.
const LOGGED_RECORDS: usize = 3;

/// Kinds of records without which no request can be served.
const ESSENTIAL_KINDS: [Kind; 2] = [Kind::Configuration, Kind::Replicas];

/// Where an instance runs, and the regions of all failure domains.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// Failure domain of this instance.
    pub domain: Arc<str>,
    /// Region of each failure domain, by the domain's name.
    pub regions: BTreeMap<String, String>,
}

/// The platform's records as one instance knows them.
#[derive(Debug)]
pub struct Catalog {
    place: Place,
    current: Option<Configuration>,
    previous: Option<Configuration>,
    replicas: BTreeMap<Arc<str>, ReplicaEntry>,
    evacuated: BTreeSet<Arc<str>>,
    /// When the replicas of a failure domain that has returned count as warm unless they report
    /// otherwise.
    returned: BTreeMap<Arc<str>, Timestamp>,
    moves: BTreeMap<Arc<str>, Order>,
    /// Names under which orders go on that the platform has with another name since it came back from
    /// an older copy, by service.
    renamed: BTreeMap<Arc<str>, Renamed>,
    /// Evacuations and moves that were known when the platform came back from an older copy, and that
    /// it hasn't stated since.
    unconfirmed: BTreeMap<(Kind, Arc<str>), Unconfirmed>,
    /// Until when replica records may be those of an older copy of the platform.
    restored_until: Timestamp,
    listed_kinds: BTreeSet<Kind>,
    /// Whether there is a view without the kinds that aren't essential and were never listed.
    essential_only: bool,
}

#[derive(Debug)]
struct ReplicaEntry {
    replica: Replica,
    /// When the replica is warm, according to its own record.
    warm_at: Timestamp,
    /// When the replica is removed unless its record reappears; `None` while the record exists.
    expiry: Option<Timestamp>,
}

/// A record that the platform hasn't stated since it came back from an older copy.
#[derive(Clone, Copy, Debug)]
struct Unconfirmed {
    /// Until when it is kept.
    until: Timestamp,
    /// Whether the copy lacks it.
    is_missing: bool,
}

/// An order whose name follows from a revision that the platform has given out again.
#[derive(Clone, Debug)]
struct Renamed {
    /// Name by the platform's records.
    stated: Arc<str>,
    /// Name under which the move goes on.
    kept: Arc<str>,
}

/// When the platform last answered again after an outage; `None` if there was no outage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RecoveredAt(pub Option<Timestamp>);

impl RecoveredAt {
    /// Returns until when a removed record may reappear, or `None` if that time has passed.
    fn grace(self, now: Timestamp) -> Option<Timestamp> {
        let end = self.0.map(|at| at + EXPIRY_GRACE);
        end.filter(|end| *end > now)
    }
}

impl Catalog {
    /// Creates a catalog without records.
    pub fn new(place: Place) -> Self {
        Self {
            place,
            current: None,
            previous: None,
            replicas: BTreeMap::new(),
            evacuated: BTreeSet::new(),
            returned: BTreeMap::new(),
            moves: BTreeMap::new(),
            renamed: BTreeMap::new(),
            unconfirmed: BTreeMap::new(),
            restored_until: Timestamp::ZERO,
            listed_kinds: BTreeSet::new(),
            essential_only: false,
        }
    }

    /// Prepares for records of `kind` from an older copy of the platform. Evacuations and moves that it
    /// lacks stay in force for [`RESTORE_TIME`], unless they are stated and removed again meanwhile.
    pub fn begin_era(&mut self, kind: Kind, now: Timestamp) {
        let until = now + RESTORE_TIME;
        let known: Vec<_> = match kind {
            Kind::Configuration => Vec::new(),
            Kind::Replicas => {
                self.restored_until = until;
                Vec::new()
            }
            Kind::Evacuations => self.evacuated.iter().cloned().collect(),
            Kind::Moves => self.moves.keys().cloned().collect(),
        };
        for name in known {
            let unconfirmed = Unconfirmed {
                until,
                is_missing: false,
            };
            self.unconfirmed.insert((kind, name), unconfirmed);
        }
    }

    /// Ends the preparation of [`Catalog::begin_era`] for the records of `kind` that the copy has. It follows the
    /// first records of the era.
    pub fn confirm_present(&mut self, kind: Kind) {
        self.unconfirmed
            .retain(|(of, _), unconfirmed| *of != kind || unconfirmed.is_missing);
    }

    /// Replaces all records of `kind` with those of `listing`; sets only these if it is partial.
    pub fn replace(
        &mut self,
        kind: Kind,
        listing: Listing,
        now: Timestamp,
        recovered_at: RecoveredAt,
    ) {
        let records = listing.records;
        let names: BTreeSet<_> = records.iter().map(|(name, _)| Arc::clone(name)).collect();
        let removed: Vec<_> = match kind {
            _ if listing.partial => Vec::new(),
            Kind::Configuration => Vec::new(),
            Kind::Replicas => not_listed(self.replicas.keys(), &names),
            Kind::Evacuations => not_listed(self.evacuated.iter(), &names),
            Kind::Moves => not_listed(self.moves.keys(), &names),
        };
        for name in removed {
            self.set(kind, name, None, now, recovered_at);
        }
        log_invalid(kind, records.iter().map(|(name, record)| (name, record)));
        for (name, record) in records {
            self.apply(kind, name, Some(record), now, recovered_at);
        }
        self.listed_kinds.insert(kind);
    }

    /// Sets one record, or removes it if `record` is `None`. An invalid replica record removes the
    /// replica, because its earlier record may no longer hold; other invalid records are ignored.
    /// A replica whose record is removed shortly after an outage of the platform is kept for a
    /// grace period.
    pub fn set(
        &mut self,
        kind: Kind,
        name: Arc<str>,
        record: Option<Record>,
        now: Timestamp,
        recovered_at: RecoveredAt,
    ) {
        log_invalid(kind, record.iter().map(|record| (&name, record)));
        self.apply(kind, name, record, now, recovered_at);
    }

    fn apply(
        &mut self,
        kind: Kind,
        name: Arc<str>,
        record: Option<Record>,
        now: Timestamp,
        recovered_at: RecoveredAt,
    ) {
        if self.is_kept(kind, &name, record.is_none()) {
            return;
        }
        match (kind, record) {
            (Kind::Replicas, Some(Record::Invalid(_))) => {
                self.replicas.remove(&name);
            }
            (_, Some(Record::Invalid(_))) => {}
            (Kind::Configuration, Some(Record::Configuration(new))) => self.set_configuration(*new),
            (Kind::Replicas, Some(Record::Replica(replica))) => self.set_replica(replica, now),
            (Kind::Replicas, None) => self.remove_replica(&name, recovered_at.grace(now)),
            (Kind::Evacuations, Some(Record::Evacuation)) => {
                tracing::info!(domain = %name, "no new work goes to the failure domain");
                self.evacuated.insert(name);
            }
            (Kind::Evacuations, None) => {
                tracing::info!(domain = %name, "the failure domain takes work again");
                if self.evacuated.remove(&name) {
                    self.returned.insert(name, now + RETURN_TIME);
                }
            }
            (Kind::Moves, Some(Record::Move(order))) => {
                let order = self.with_kept_name(order);
                self.moves.insert(name, order);
            }
            (Kind::Moves, None) => {
                self.moves.remove(&name);
                self.renamed.remove(&name);
            }
            (Kind::Configuration, None) => {
                tracing::warn!(
                    "the configuration was removed from the platform; the last one stays in force"
                );
            }
            (kind, Some(record)) => {
                tracing::warn!(%kind, %name, ?record, "ignored a record that doesn't match the kind of its list");
            }
        }
    }

    /// Returns whether a record stays in force that was removed by the platform's return from an older
    /// copy.
    fn is_kept(&mut self, kind: Kind, name: &Arc<str>, is_removed: bool) -> bool {
        let key = (kind, Arc::clone(name));
        if !is_removed {
            self.unconfirmed.remove(&key);
            return false;
        }
        let unconfirmed = self.unconfirmed.get_mut(&key);
        unconfirmed.is_some_and(|unconfirmed| {
            unconfirmed.is_missing = true;
            true
        })
    }

    /// Returns `order` under the name by which its move is known. The name follows from the revision at
    /// which the order was written, which is another one if the operators wrote it again.
    fn with_kept_name(&mut self, order: Order) -> Order {
        let known = self.moves.get(&order.service);
        let renamed = known.filter(|known| {
            known.era < order.era && known.version == order.version && known.name != order.name
        });
        if let Some(known) = renamed {
            let renamed = Renamed {
                stated: Arc::clone(&order.name),
                kept: Arc::clone(&known.name),
            };
            self.renamed.insert(Arc::clone(&order.service), renamed);
        }
        let renamed = self.renamed.get(&order.service);
        match renamed.filter(|renamed| renamed.stated == order.name) {
            Some(renamed) => Order {
                name: Arc::clone(&renamed.kept),
                ..order
            },
            None => order,
        }
    }

    /// Puts `new` in force unless the current configuration has the same or a later version: a
    /// response of the platform may be stale.
    fn set_configuration(&mut self, new: Configuration) {
        let old = self.current.as_ref().map(|c| c.version);
        if old.is_some_and(|old| old >= new.version) {
            return;
        }
        tracing::info!(
            version = new.version,
            replaced = old,
            routes = new.routes.len(),
            "configuration in force"
        );
        if !new.invalid.is_empty() {
            let first = new.invalid.iter().take(LOGGED_RECORDS);
            let first: Vec<_> = first.map(ToString::to_string).collect();
            tracing::warn!(
                version = new.version,
                count = new.invalid.len(),
                first = first.join("; "),
                "parts of the configuration can't be used"
            );
        }
        self.previous = self.current.replace(new);
    }

    fn set_replica(&mut self, mut replica: Replica, now: Timestamp) {
        let entry = self.replicas.get(&replica.id);
        let known = entry.map(|e| &e.replica);
        let mut warm_at = now + replica.warmup;
        match entry {
            // An unchanged record may be old, so its remaining warmup doesn't count from now.
            Some(entry) if entry.replica == replica => warm_at = entry.warm_at,
            // The record may be that of an older copy: the same process drains for good and may have
            // turned cold since.
            Some(entry) if entry.replica.born == replica.born && now < self.restored_until => {
                replica.draining |= entry.replica.draining;
                if entry.warm_at > warm_at {
                    warm_at = entry.warm_at;
                    replica.warmup = entry.replica.warmup;
                }
            }
            _ => {}
        }
        if known.is_none_or(|k| k.draining != replica.draining || k.address != replica.address) {
            tracing::info!(
                upstream = %replica.id,
                service = %replica.service,
                version = replica.version,
                address = %replica.address,
                domain = %replica.domain,
                draining = replica.draining,
                "upstream announced"
            );
        }
        let entry = ReplicaEntry {
            replica,
            warm_at,
            expiry: None,
        };
        self.replicas.insert(Arc::clone(&entry.replica.id), entry);
    }

    fn remove_replica(&mut self, name: &Arc<str>, grace: Option<Timestamp>) {
        match (grace, self.replicas.get_mut(name)) {
            (Some(end), Some(entry)) => {
                entry.expiry.get_or_insert(end);
            }
            (None, Some(_)) => {
                tracing::info!(upstream = %name, "upstream gone");
                self.replicas.remove(name);
            }
            (_, None) => {}
        }
    }

    /// Removes records that did not reappear in time. Returns whether any was removed.
    pub fn remove_expired(&mut self, now: Timestamp) -> bool {
        let restored = self.remove_unconfirmed(now);
        let before = self.replicas.len();
        self.replicas.retain(|name, entry| {
            let kept = entry.expiry.is_none_or(|end| end > now);
            if !kept {
                tracing::info!(upstream = %name, "upstream gone: its record did not reappear after the platform's outage");
            }
            kept
        });
        restored || self.replicas.len() < before
    }

    /// Removes evacuations and moves that the platform hasn't stated again in time since its return from
    /// an older copy. Returns whether any was removed.
    fn remove_unconfirmed(&mut self, now: Timestamp) -> bool {
        let due = |unconfirmed: &Unconfirmed| unconfirmed.until <= now;
        let expired = self.unconfirmed.extract_if(.., |_, u| due(u));
        let missing: Vec<_> = expired.map(|(key, _)| key).collect();
        for (kind, name) in &missing {
            self.apply(*kind, Arc::clone(name), None, now, RecoveredAt::default());
        }
        if !missing.is_empty() {
            let names = missing.iter().take(LOGGED_RECORDS);
            let names: Vec<_> = names
                .map(|(kind, name)| format!("{kind}: {name}"))
                .collect();
            tracing::info!(
                count = missing.len(),
                first = names.join("; "),
                "records of the platform's earlier era count as removed"
            );
        }
        !missing.is_empty()
    }

    /// Returns whether any record is kept although it was removed.
    pub fn has_expiring(&self) -> bool {
        !self.unconfirmed.is_empty() || self.replicas.values().any(|e| e.expiry.is_some())
    }

    /// Returns when a replica is warm; `None` if it was warm when it was first seen.
    fn warm_at(&self, entry: &ReplicaEntry) -> Option<Timestamp> {
        let reported = (!entry.replica.warmup.is_zero()).then_some(entry.warm_at);
        let returned = self.returned.get(&entry.replica.domain).copied();
        reported.max(returned)
    }

    /// Returns the kinds that must be known before there is a view.
    pub fn missing_kinds(&self) -> Vec<Kind> {
        let known = |kind: &Kind| match kind {
            Kind::Configuration => self.current.is_some(),
            _ => self.listed_kinds.contains(kind),
        };
        Kind::ALL.into_iter().filter(|kind| !known(kind)).collect()
    }

    /// Returns whether the records that no request can be served without are known.
    pub fn has_essentials(&self) -> bool {
        let essential = |kind: &Kind| ESSENTIAL_KINDS.contains(kind);
        !self.missing_kinds().iter().any(essential)
    }

    /// Allows views without the kinds that aren't essential and were never listed.
    pub fn serve_essentials(&mut self) {
        self.essential_only = true;
    }

    /// Returns a view of the records, or `None` until each kind was listed and a configuration is
    /// known. After [`Catalog::serve_essentials`], the essential kinds suffice.
    pub fn view(&self) -> Option<View> {
        let current = self.current.as_ref()?;
        let complete = match self.essential_only {
            true => self.has_essentials(),
            false => self.listed_kinds.len() == Kind::ALL.len(),
        };
        if !complete {
            return None;
        }
        let held = match self.listed_kinds.contains(&Kind::Moves) {
            true => BTreeMap::new(),
            false => self.oldest_versions(),
        };
        let usable = |r: &Replica| {
            let version = held.get(&r.service);
            let held = version.is_some_and(|version| **version != r.version);
            !r.draining && !held && !self.evacuated.contains(&r.domain)
        };
        let replicas = self.replicas.values().map(|entry| ReplicaState {
            replica: &entry.replica,
            warm_at: self.warm_at(entry),
            usable: usable(&entry.replica),
        });
        let replicas: Vec<_> = replicas.collect();
        let inputs = Inputs {
            own_domain: &self.place.domain,
            regions: &self.place.regions,
            current,
            previous: self.previous.as_ref(),
            replicas: &replicas,
            moves: self.moves.values().cloned().collect(),
        };
        Some(inputs.view())
    }

    /// Returns the version of each service's replica that started first, of those that don't drain.
    /// Services without a known start are left out.
    fn oldest_versions(&self) -> BTreeMap<&Arc<str>, &String> {
        let mut oldest: BTreeMap<&Arc<str>, (u64, &String)> = BTreeMap::new();
        let replicas = self.replicas.values().map(|entry| &entry.replica);
        for replica in replicas.filter(|r| !r.draining) {
            let Some(born) = replica.born else {
                continue;
            };
            let started = (born, &replica.version);
            let first = oldest.entry(&replica.service).or_insert(started);
            *first = started.min(*first);
        }
        let versions = oldest.into_iter();
        versions
            .map(|(service, (_, version))| (service, version))
            .collect()
    }
}

/// Logs the number of invalid records and the first of them, in one line: other writers may have made
/// many.
fn log_invalid<'a>(kind: Kind, records: impl Iterator<Item = (&'a Arc<str>, &'a Record)>) {
    let mut count = 0;
    let mut first = Vec::new();
    for (name, record) in records {
        if let Record::Invalid(invalid) = record {
            count += 1;
            if first.len() < LOGGED_RECORDS {
                first.push(format!("{name}: {invalid}"));
            }
        }
    }
    if count > 0 {
        tracing::warn!(%kind, count, first = first.join("; "), "records can't be used");
    }
}

/// Returns the names in `known` that are not in `listed`.
fn not_listed<'a>(
    known: impl Iterator<Item = &'a Arc<str>>,
    listed: &BTreeSet<Arc<str>>,
) -> Vec<Arc<str>> {
    known.filter(|n| !listed.contains(*n)).cloned().collect()
}
