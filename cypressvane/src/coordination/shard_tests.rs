//! Division of pools into shards, and the choice of a shard for an offer.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};

use super::{SERVERS_MAX, Shard, Sharding};
use crate::coordination::offer::Spec;
use crate::seeded;

fn specs(count: usize) -> Vec<Spec> {
    let spec = |index| Spec {
        name: format!("server-{index}").into(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        data_centre: None,
        slots: 8,
        version: None,
        tried: false,
        settling: false,
        leaving: false,
        started_ms: None,
        warmup: None,
    };
    (0..count).map(spec).collect()
}

struct Case {
    servers: usize,
    shards: u16,
}

const CASES: [Case; 7] = [
    Case {
        servers: 0,
        shards: 1,
    },
    Case {
        servers: SERVERS_MAX,
        shards: 1,
    },
    Case {
        servers: SERVERS_MAX + 1,
        shards: 2,
    },
    Case {
        servers: 90,
        shards: 4,
    },
    Case {
        servers: 160,
        shards: 8,
    },
    Case {
        servers: 3_400,
        shards: 128,
    },
    Case {
        servers: 5_000,
        shards: 256,
    },
];

#[test]
fn the_number_of_shards_depends_on_the_number_of_servers() {
    for case in CASES {
        let sharding = Sharding::new("echo".into(), &specs(case.servers));
        assert_eq!(sharding.count(), case.shards, "{} servers", case.servers);
    }
}

#[test]
fn each_server_has_one_shard_and_stays_or_moves_to_a_new_one_when_the_count_doubles() {
    let specs = specs(160);
    let sharding = Sharding::new("echo".into(), &specs);
    for spec in &specs {
        let owners: Vec<Shard> = sharding
            .shards()
            .filter(|shard| shard.contains(&spec.name))
            .collect();
        assert_eq!(owners, [sharding.shard_of(&spec.name)]);
        let number = owners[0].number;
        let finer = Shard {
            count: 16,
            ..owners[0].clone()
        };
        let stays = finer.contains(&spec.name);
        let goes = finer.sibling(number + 8).contains(&spec.name);
        assert!(stays != goes, "{}", spec.name);
    }
}

#[test]
fn shards_of_large_pools_are_of_similar_size() {
    for servers in [90, 160, 1_000, 3_400] {
        let specs = specs(servers);
        let sharding = Sharding::new("echo".into(), &specs);
        for shard in sharding.shards() {
            let own = specs
                .iter()
                .filter(|spec| shard.contains(&spec.name))
                .count();
            assert!(
                (SERVERS_MAX / 4..SERVERS_MAX * 2).contains(&own),
                "{own} of {servers}"
            );
        }
    }
}

#[test]
fn a_point_always_gives_the_same_shard_and_points_are_spread_by_slots() {
    let specs = specs(160);
    let sharding = Sharding::new("echo".into(), &specs);
    let mut offers: HashMap<u16, u32> = HashMap::new();
    for point in 0..16_000 {
        let point = f64::from(point) / 16_000.0;
        let shard = sharding.pick(point, |_| false);
        assert_eq!(shard, sharding.pick(point, |_| false));
        *offers.entry(shard.number).or_default() += 1;
    }
    for shard in sharding.shards() {
        let own = specs
            .iter()
            .filter(|spec| shard.contains(&spec.name))
            .count();
        let expected = 100 * u32::try_from(own).expect("few");
        assert!(
            offers[&shard.number].abs_diff(expected) <= 1,
            "{}: {offers:?}",
            shard.number
        );
    }
}

#[test]
fn excluded_shards_get_no_offers_unless_all_are_excluded() {
    // `excluded` has one bit per shard, which is set if the shard is excluded.
    fn property(point: u16, excluded: u8) -> bool {
        let sharding = Sharding::new("echo".into(), &specs(160));
        let is_excluded = |shard: &Shard| excluded >> shard.number & 1 == 1;
        let shard = sharding.pick(f64::from(point) / 65_536.0, is_excluded);
        excluded == u8::MAX || !is_excluded(&shard)
    }
    seeded::quickcheck().quickcheck(property as fn(u16, u8) -> bool);
}

#[test]
fn a_service_whose_servers_are_all_leaving_still_has_a_shard() {
    let mut specs = specs(40);
    for spec in &mut specs {
        spec.leaving = true;
    }
    let sharding = Sharding::new("echo".into(), &specs);
    assert!(sharding.pick(0.7, |_| false).number < sharding.count());
}
