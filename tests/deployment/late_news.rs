//! Update that come late, or of another list, and connections to an earlier start of a target.

use std::sync::Arc;

use kumquatpost::control::frames::{RosterVersion, Update, VersionedRoster};
use kumquatpost::fleet::Listed;
use kumquatpost::fleet::compact::CompactTargets;

use crate::fixtures::{address, deployment, roster, start, start_born_at, target};
use crate::gateway::{entry, ok, run, unhurried};
use crate::stand_in::{AfterAnswer, StandIn, header};

#[test]
fn an_older_deployment_or_list_that_comes_late_changes_nothing() {
    run(async {
        let entry = entry(deployment(5), vec![]).await;
        entry.gateway.observe(Update::Deployment(Arc::new(deployment(4)))).expect("it is whole");
        let version = entry.gateway.table().expect("a table").deployment().version;
        assert_eq!(version, 5);
        let known = entry.gateway.roster_name();
        let late = VersionedRoster::new(0, Arc::new(roster([target("i-1", "app", entry.address)])));
        assert!(late.version() < known);
        entry.gateway.observe_roster(late);
        assert!(entry.gateway.fleet.borrow().get(&start("i-1")).is_none());
    });
}

#[test]
fn a_change_of_another_list_than_the_known_one_is_not_taken() {
    run(async {
        let entry = entry(deployment(3), vec![target("i-1", "app", address(1))]).await;
        let other = target("i-2", "app", address(2));
        let list = |number, listed: &Listed| {
            VersionedRoster::new(number, Arc::new(roster([listed.clone()]))).version()
        };
        let change = |before, version| Update::RosterChanged {
            before,
            version,
            changed: CompactTargets::from_targets([other.clone()].iter()),
            gone: vec![start("i-1")],
        };
        let known = entry.gateway.roster_name();
        let is_listed = |id: &str| entry.gateway.fleet.borrow().get(&start(id)).is_some();
        let another = list(1, &other);
        assert_ne!(another, known, "the same number, other targets");
        assert!(
            entry.gateway.observe(change(list(2, &other), list(3, &other))).is_err(),
            "unknown"
        );
        assert!(entry.gateway.observe(change(another, list(2, &other))).is_err(), "another one");
        let third = list(2, &target("i-3", "app", address(3)));
        assert!(entry.gateway.observe(change(known, third)).is_err(), "it makes another list");
        assert!(
            entry.gateway.observe(change(RosterVersion::default(), known)).is_ok(),
            "known already"
        );
        assert!(is_listed("i-1") && !is_listed("i-2"));
        assert!(entry.gateway.observe(change(known, list(2, &other))).is_ok());
        assert!(is_listed("i-2") && !is_listed("i-1"));
    });
}

/// A target starts again under its id and at its address, and is listed so.
#[test]
fn a_connection_to_an_earlier_start_is_not_used_for_the_later_one() {
    run(async {
        let answers = (0..4).map(|_| (ok("done"), AfterAnswer::KeepOpen)).collect();
        let one = StandIn::start(answers).await;
        let at = |born_ms| Listed {
            start: start_born_at("i-1", born_ms),
            ..target("i-1", "app", one.address)
        };
        let entry = entry(unhurried(), vec![at(9)]).await;
        for (id, connections) in [("r1", 1), ("r2", 1)] {
            assert_eq!(entry.call("/safe/a", id).await.status, 200);
            assert_eq!(one.connections.get(), connections, "it is kept");
        }
        let connection =
            entry.gateway.pool.take_idle(&start_born_at("i-1", 9)).expect("it is kept");
        let roster = VersionedRoster::new(2, Arc::new(roster([at(3)])));
        entry.gateway.observe_roster(roster);
        // A request that was under way ends, and its connection is given back.
        entry.gateway.return_connection(&start_born_at("i-1", 9), connection);
        assert!(entry.gateway.pool.take_idle(&start_born_at("i-1", 9)).is_none());
        assert_eq!(entry.call("/safe/a", "r3").await.status, 200);
        assert_eq!(one.connections.get(), 2);
        let request = one.requests.borrow().last().cloned().expect("it was asked");
        assert_eq!(header(&request, "x-expect-instance").as_deref(), Some("i-1"), "the id alone");
    });
}
