//! A property over drawn schedules of failures: no stream goes on at a version that did not begin it.
//!
//! The hosts, the list, what hosts tell each other and what they store are a model; what the hosts conclude is the code
//! under test. Wrong variants of the rule must be found.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use quickcheck::{Arbitrary, Gen, TestResult};

use super::{Evidence, History, Id, Records, Report, Verdict, Version};
use crate::coordination::home;
use crate::coordination::rollout::version::{Access, KnownVersions, SETTLE_TIME};
use crate::seeded;
use crate::state::clock::Instant;
use crate::state::name::Name;

const RETENTION: Duration = Duration::from_secs(30);

/// Something that happens to the hosts, the servers or a caller.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// Servers of a version come, or leave.
    Toggle(u8),
    /// All servers are replaced by those of another version.
    Replace(u8),
    /// A stream begins at a host; the second host is the home that chooses its version.
    Begin(u8, u8),
    /// A caller takes a stream up at a host.
    TakeUp(u8, u8),
    Kill(u8),
    /// All hosts are killed and start again.
    KillAll,
    Start(u8),
    /// A host is cut off from the other hosts and the platform, or no longer.
    Cut(u8),
    /// A host stands still for two seconds.
    Freeze(u8),
    /// So many times 100 ms pass.
    Pause(u8),
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let (one, other) = (u8::arbitrary(g), u8::arbitrary(g));
        match u8::arbitrary(g) % 32 {
            0..=1 => Self::Toggle(one),
            2 => Self::Replace(one),
            3..=9 => Self::Begin(one, other),
            10..=18 => Self::TakeUp(one, other),
            19..=20 => Self::Kill(one),
            21 => Self::KillAll,
            22..=25 => Self::Start(one),
            26..=27 => Self::Cut(one),
            28 => Self::Freeze(one),
            _ => Self::Pause(one % 30),
        }
    }
}

/// The rule for taking streams up, and wrong variants that the property must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rule {
    Real,
    /// A stream that nobody knows goes on at any listed version.
    UnknownIsAny,
    /// A host that no other host answers goes by what it has seen, however long ago.
    TrustsItself,
    /// Records are dropped after a tenth of the time for which streams live, and so are versions.
    ForgetsEarly,
    /// After a loss of all hosts, the listed version counts as the only one there was.
    IgnoresStored,
}

const HOSTS: usize = 5;
const STEP: Duration = Duration::from_millis(100);
/// Time in which hosts tell each other what they record.
const TELL_TIME: Duration = Duration::from_millis(20);
/// Time in which the versions are stored after they have changed.
const STORE_TIME: Duration = Duration::from_millis(300);
/// Time in which the first host that keeps a stream stores its version.
const SAVE_TIME: Duration = Duration::from_millis(300);
/// How much later than the first host the last one learns of a change of the list.
const LIST_LAG_STEPS: usize = 4;
/// Time after which the other hosts no longer count a killed host.
/// Time out of touch after which a host may have missed versions.
const GAP_MIN: Duration = Duration::from_secs(3);
const SUSPECT_TIME: Duration = Duration::from_secs(2);

/// A host of the model; `None` in the world while it is down.
struct Host {
    records: Records,
    history: History,
    known: KnownVersions,
    /// The versions that were stored when it started.
    stored: Option<BTreeSet<Version>>,
    cut_since: Option<Instant>,
    frozen_until: Option<Instant>,
}

/// A stream whose version a host is about to store.
struct Unsaved {
    host: usize,
    id: Id,
    version: Version,
    at: Instant,
}

struct Told {
    from: usize,
    to: usize,
    id: Id,
    version: Version,
    at: Instant,
}

struct Stream {
    id: Id,
    version: Version,
    begun: Instant,
}

struct World {
    rule: Rule,
    now: Instant,
    /// The list at each step, the newest last.
    lists: Vec<BTreeSet<Name>>,
    hosts: Vec<Option<Host>>,
    killed_at: Vec<Option<Instant>>,
    told: Vec<Told>,
    stored: BTreeSet<Version>,
    unsaved: Vec<Unsaved>,
    /// The streams whose versions are stored.
    saved: Vec<(Id, Version)>,
    /// When the list last changed, for the delay after which the change is stored.
    changed_at: Instant,
    streams: Vec<Stream>,
    /// Number of attempts to take a stream up, of those that went on, and of those at another version.
    taken_up: usize,
    went_on: usize,
    mixed: usize,
}

impl World {
    fn new(rule: Rule) -> Self {
        let now = Instant::now();
        let mut world = Self {
            rule,
            now,
            lists: vec![BTreeSet::from(["v1".into()])],
            hosts: (0..HOSTS).map(|_| None).collect(),
            killed_at: vec![None; HOSTS],
            told: Vec::new(),
            stored: BTreeSet::from([Some("v1".into())]),
            unsaved: Vec::new(),
            saved: Vec::new(),
            changed_at: now,
            streams: Vec::new(),
            taken_up: 0,
            went_on: 0,
            mixed: 0,
        };
        for host in 0..HOSTS {
            world.start(host);
        }
        world
    }

    fn retention(&self) -> Duration {
        if self.rule == Rule::ForgetsEarly {
            RETENTION / 10
        } else {
            RETENTION
        }
    }

    fn start(&mut self, host: usize) {
        if self.hosts[host].is_some() {
            return;
        }
        let mut new = Host {
            records: Records::default(),
            history: History::default(),
            known: KnownVersions::default(),
            stored: Some(self.stored.clone()),
            cut_since: None,
            frozen_until: None,
        };
        let list = self.lists.last().expect("a list").clone();
        new.apply(&list, true, self.now);
        self.hosts[host] = Some(new);
        self.killed_at[host] = None;
        let kept = self
            .saved
            .iter()
            .filter(|(id, _)| self.keepers(id).contains(&host));
        let kept: Vec<(Id, Version)> = kept.cloned().collect();
        let (now, retention) = (self.now, self.retention());
        if let Some(new) = &mut self.hosts[host] {
            for (id, version) in kept {
                new.records.note(id, &version, retention, now);
            }
        }
    }

    fn kill(&mut self, host: usize) {
        if self.hosts[host].take().is_some() {
            self.killed_at[host] = Some(self.now);
            // What it had not sent yet is lost.
            let now = self.now;
            self.told.retain(|told| told.from != host || told.at <= now);
            self.unsaved.retain(|unsaved| unsaved.host != host);
        }
    }

    fn change_list(&mut self, list: BTreeSet<Name>) {
        *self.lists.last_mut().expect("a list") = list;
        self.changed_at = self.now;
    }

    /// Lets a step pass: hosts read the list, hear what others tell, and store the versions.
    fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        self.lists.push(self.lists.last().expect("a list").clone());
        let newest = self.lists.len() - 1;
        for (index, host) in self.hosts.iter_mut().enumerate() {
            let Some(host) = host else { continue };
            if host.frozen_until.is_some_and(|until| until <= now) {
                host.frozen_until = None;
                host.note_gap(&self.stored, now);
            }
            if host.is_reached() {
                let lag = index % (LIST_LAG_STEPS + 1);
                let list = &self.lists[newest.saturating_sub(lag)];
                host.apply(list, false, now);
            }
        }
        self.deliver();
        self.save();
        let retention = self.retention();
        if now.saturating_duration_since(self.changed_at) >= STORE_TIME
            && let Some(writer) = self.hosts.iter().flatten().find(|host| host.is_reached())
        {
            let recent = writer.history.recent(retention, now);
            if writer.history.span(now) >= retention {
                self.stored = recent;
            } else {
                self.stored.extend(recent);
            }
        }
    }

    /// Delivers what hosts have told each other.
    fn deliver(&mut self) {
        let (now, retention) = (self.now, self.retention());
        let (due, later): (Vec<Told>, Vec<Told>) =
            self.told.drain(..).partition(|told| told.at <= now);
        self.told = later;
        for told in due {
            let is_sent = self.hosts[told.from].as_ref().is_none_or(Host::is_reached);
            if let Some(host) = self.hosts[told.to]
                .as_mut()
                .filter(|host| host.is_reached())
                && is_sent
            {
                host.records.note(told.id, &told.version, retention, now);
                self.save_later(told.to, told.id, &told.version);
            }
        }
    }

    /// Has a host store a stream's version soon, if it is the first one that keeps the stream.
    fn save_later(&mut self, host: usize, id: Id, version: &Version) {
        if self.keepers(&id).first() == Some(&host) {
            self.unsaved.push(Unsaved {
                host,
                id,
                version: version.clone(),
                at: self.now + SAVE_TIME,
            });
        }
    }

    /// Stores the versions of streams that are due, at hosts that reach the platform.
    fn save(&mut self) {
        let (now, hosts) = (self.now, &self.hosts);
        let is_due = |unsaved: &Unsaved| {
            let host = hosts[unsaved.host].as_ref();
            unsaved.at <= now && host.is_some_and(Host::is_reached)
        };
        let (due, later): (Vec<Unsaved>, Vec<Unsaved>) = self.unsaved.drain(..).partition(is_due);
        self.unsaved = later;
        let saved = due.into_iter();
        self.saved
            .extend(saved.map(|unsaved| (unsaved.id, unsaved.version)));
    }

    /// The hosts that keep a stream, as all hosts count them.
    fn keepers(&self, id: &Id) -> Vec<usize> {
        let is_counted = |host: &usize| {
            let killed = self.killed_at[*host];
            let is_suspected = |at| self.now.saturating_duration_since(at) >= SUSPECT_TIME;
            self.hosts[*host].is_some() || killed.is_some_and(|at| !is_suspected(at))
        };
        let named: Vec<(Name, Option<Name>)> = (0..HOSTS)
            .filter(is_counted)
            .map(|host| (host.to_string().into(), Some((host % 3).to_string().into())))
            .collect();
        let keepers = home::spread(&format!("streams/{}", id.group()), &named, 3);
        keepers
            .iter()
            .map(|name| name.parse().expect("an index"))
            .collect()
    }

    /// Records a stream at a host and tells the hosts that keep it.
    fn record(&mut self, host: usize, id: Id, version: &Version) {
        let (now, retention) = (self.now, self.retention());
        let keepers = self.keepers(&id);
        if let Some(own) = &mut self.hosts[host] {
            own.records.note(id, version, retention, now);
        }
        self.save_later(host, id, version);
        for to in keepers.into_iter().filter(|to| *to != host) {
            self.told.push(Told {
                from: host,
                to,
                id,
                version: version.clone(),
                at: now + TELL_TIME,
            });
        }
    }

    /// Whether messages pass between two hosts.
    fn is_linked(&self, one: usize, other: usize) -> bool {
        let is_reached = |host: usize| self.hosts[host].as_ref().is_some_and(Host::is_reached);
        one == other && self.hosts[one].is_some() || is_reached(one) && is_reached(other)
    }

    fn begin(&mut self, host: usize, home: usize) {
        if !self.is_linked(host, home) || self.is_frozen(host) || self.is_frozen(home) {
            return;
        }
        let home = self.hosts[home].as_ref().expect("a linked host is up");
        let open = home.known.listed.keys();
        let open: Vec<&Name> = open
            .filter(|name| home.known.access(name, self.now) == Access::Open)
            .collect();
        if open.is_empty() {
            return;
        }
        let version = Some(open[self.streams.len() % open.len()].clone());
        let id = Id::of("desk", None, &self.streams.len().to_string());
        let has_several = self.hosts[host]
            .as_ref()
            .is_some_and(|own| own.history.recent(self.retention(), self.now).len() > 1);
        self.streams.push(Stream {
            id,
            version: version.clone(),
            begun: self.now,
        });
        if has_several {
            self.record(host, id, &version);
        } else if let Some(own) = &mut self.hosts[host] {
            // It breaks off here, which is recorded.
            own.records.note(id, &version, RETENTION, self.now);
        }
    }

    fn is_frozen(&self, host: usize) -> bool {
        let host = self.hosts[host].as_ref();
        host.is_some_and(|host| host.frozen_until.is_some())
    }

    fn report(&self, host: usize, id: &Id) -> Report {
        let host = self.hosts[host].as_ref().expect("it is up");
        Report {
            version: host.records.version(id).cloned(),
            is_conflicting: host.records.is_conflicting(id),
            recent: host.history.recent(self.retention(), self.now),
            span: host.history.span(self.now),
            is_current: host.is_current(self.now) || self.rule == Rule::TrustsItself,
            stored: host.stored.clone(),
            is_reading: false,
        }
    }

    fn take_up(&mut self, host: usize, stream: usize) {
        if self.hosts[host].is_none() || self.is_frozen(host) || self.streams.is_empty() {
            return;
        }
        let stream = &self.streams[stream % self.streams.len()];
        // Callers take a stream up within the time for which streams live.
        if self.now.saturating_duration_since(stream.begun) >= RETENTION {
            return;
        }
        let (id, begun_at) = (stream.id, stream.version.clone());
        self.taken_up += 1;
        // A host that has been cut off for long counts no other one as a keeper.
        let cut_since = self.hosts[host].as_ref().and_then(|own| own.cut_since);
        let counts_others =
            cut_since.is_none_or(|since| self.now.saturating_duration_since(since) < SUSPECT_TIME);
        let keepers = self.keepers(&id).into_iter();
        let others: Vec<usize> = keepers
            .filter(|keeper| *keeper != host && counts_others)
            .collect();
        let mut reports = vec![self.report(host, &id)];
        let answering = others.iter().filter(|other| self.is_linked(host, **other));
        let answering: Vec<usize> = answering.copied().collect();
        reports.extend(answering.iter().map(|other| self.report(*other, &id)));
        let own = self.hosts[host].as_ref().expect("it is up");
        let heard = (0..HOSTS).filter(|other| counts_others && self.is_linked(host, *other));
        let evidence = Evidence {
            reports,
            asked: others.len(),
            hears_most: heard.count() * 2 > HOSTS,
            stored: own.is_reached().then(|| self.stored.clone()),
        };
        let retention = self.retention();
        let mut verdict = evidence.decide(retention);
        if verdict == Verdict::Unconfirmed && self.rule == Rule::IgnoresStored {
            let listed = self.lists.last().expect("a list").first().cloned();
            verdict = listed.map_or(verdict, |listed| Verdict::Version(Some(listed)));
        }
        if verdict != Verdict::Unanswered && !matches!(verdict, Verdict::Version(_)) {
            let any = own.known.listed.keys().next();
            if let (Rule::UnknownIsAny, Some(any)) = (self.rule, any) {
                verdict = Verdict::Version(Some(any.clone()));
            }
        }
        if let Verdict::Version(version) = verdict {
            self.went_on += 1;
            self.mixed += usize::from(version != begun_at);
            self.record(host, id, &version);
        }
    }

    fn apply(&mut self, event: Event) {
        let host = |number: u8| usize::from(number) % HOSTS;
        let name = |number: u8| Name::from(["v1", "v2", "v3"][usize::from(number) % 3]);
        match event {
            Event::Toggle(number) => {
                let mut list = self.lists.last().expect("a list").clone();
                if !list.remove(&name(number)) {
                    list.insert(name(number));
                }
                self.change_list(list);
            }
            Event::Replace(number) => self.change_list(BTreeSet::from([name(number)])),
            Event::Begin(at, home) => self.begin(host(at), host(home)),
            Event::TakeUp(at, stream) => self.take_up(host(at), stream.into()),
            Event::Kill(number) => self.kill(host(number)),
            Event::KillAll => {
                (0..HOSTS).for_each(|host| self.kill(host));
                self.step();
                (0..HOSTS).for_each(|host| self.start(host));
            }
            Event::Start(number) => self.start(host(number)),
            Event::Cut(number) => {
                let now = self.now;
                if let Some(host) = &mut self.hosts[host(number)] {
                    host.cut_since = match host.cut_since {
                        None => Some(now),
                        Some(since) => {
                            if now.saturating_duration_since(since) >= GAP_MIN {
                                host.note_gap(&self.stored, now);
                            }
                            None
                        }
                    };
                }
            }
            Event::Freeze(number) => {
                let until = self.now + Duration::from_secs(2);
                if let Some(host) = &mut self.hosts[host(number)] {
                    host.frozen_until = Some(until);
                }
            }
            Event::Pause(steps) => (0..steps).for_each(|_| self.step()),
        }
        self.step();
    }
}

impl Host {
    /// Whether it has heard from the platform within the settle time.
    fn is_current(&self, now: Instant) -> bool {
        self.cut_since
            .is_none_or(|since| now.saturating_duration_since(since) < SETTLE_TIME)
    }

    /// Notes that it may have missed versions: it relies on what it reads anew.
    fn note_gap(&mut self, stored: &BTreeSet<Version>, now: Instant) {
        self.history.note_gap(now);
        self.stored = Some(stored.clone());
    }

    fn is_reached(&self) -> bool {
        self.cut_since.is_none() && self.frozen_until.is_none()
    }

    fn apply(&mut self, list: &BTreeSet<Name>, is_first: bool, now: Instant) {
        self.known.apply_list(list, is_first, now);
        let listed = list.iter().cloned().map(Some).collect();
        self.history.apply_list(&listed, now);
    }
}

/// Plays a schedule.
fn play(rule: Rule, events: &[Event]) -> World {
    let mut world = World::new(rule);
    for event in events {
        world.apply(*event);
    }
    world
}

#[test]
fn no_stream_goes_on_at_another_version_whatever_fails() {
    #[expect(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
    fn holds(events: Vec<Event>) -> TestResult {
        TestResult::from_bool(play(Rule::Real, &events).mixed == 0)
    }
    seeded::quickcheck().quickcheck(holds as fn(Vec<Event>) -> TestResult);
}

#[test]
fn the_property_finds_wrong_rules() {
    /// Schedules of which at least one must show the fault of each rule.
    const SCHEDULES: usize = 1_000;
    /// Events of a schedule.
    const EVENTS: usize = 200;
    let mut found: BTreeMap<String, usize> = BTreeMap::new();
    let mut generator = Gen::from_size_and_seed(EVENTS, 1);
    let (mut went_on, mut taken_up) = (0, 0);
    let rules = [
        Rule::UnknownIsAny,
        Rule::TrustsItself,
        Rule::ForgetsEarly,
        Rule::IgnoresStored,
    ];
    for _ in 0..SCHEDULES {
        let events: Vec<Event> = (0..EVENTS)
            .map(|_| Event::arbitrary(&mut generator))
            .collect();
        let real = play(Rule::Real, &events);
        assert_eq!(real.mixed, 0, "{events:?}");
        went_on += real.went_on;
        taken_up += real.taken_up;
        for rule in rules {
            let mixed = play(rule, &events).mixed;
            *found.entry(format!("{rule:?}")).or_default() += mixed;
        }
    }
    eprintln!("{went_on} of {taken_up} go on; mixed by wrong rules: {found:?}");
    assert!(found.values().all(|mixed| *mixed > 0), "{found:?}");
}
