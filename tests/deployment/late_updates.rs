//! Updates that are late or based on another roster, and connections to an earlier start of a
//! target.

use std::sync::Arc;

use kumquatpost::control::frames::{RosterVersion, Update, VersionedRoster};
use kumquatpost::fleet::Listed;
use kumquatpost::fleet::compact::CompactTargets;

use crate::fixtures::{address, deployment, roster, start, start_born_at, target};
use crate::gateway::{deployment_with_long_timeouts, ok_response, run_local, start_entry};
use crate::stand_in::{AfterAnswer, StandIn, header};

#[test]
fn older_deployments_and_rosters_are_ignored() {
    run_local(async {
        let entry = start_entry(deployment(5), vec![]).await;
        entry.gateway.observe(Update::Deployment(Arc::new(deployment(4)))).expect("valid update");
        let version = entry.gateway.table().expect("routing table").deployment().version;
        assert_eq!(version, 5);
        let known = entry.gateway.roster_name();
        let older_roster =
            VersionedRoster::new(0, Arc::new(roster([target("i-1", "app", entry.address)])));
        assert!(older_roster.version() < known);
        entry.gateway.observe_roster(older_roster);
        assert!(entry.gateway.fleet.borrow().get(&start("i-1")).is_none());
    });
}

#[test]
fn a_change_to_an_unknown_roster_is_rejected() {
    run_local(async {
        let entry = start_entry(deployment(3), vec![target("i-1", "app", address(1))]).await;
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
        let other_version = list(1, &other);
        assert_ne!(other_version, known, "same number, other targets");
        assert!(
            entry.gateway.observe(change(list(2, &other), list(3, &other))).is_err(),
            "based on an unknown roster"
        );
        assert!(
            entry.gateway.observe(change(other_version, list(2, &other))).is_err(),
            "based on another roster with the same number"
        );
        let third = list(2, &target("i-3", "app", address(3)));
        assert!(
            entry.gateway.observe(change(known, third)).is_err(),
            "the result differs from the announced version"
        );
        assert!(
            entry.gateway.observe(change(RosterVersion::default(), known)).is_ok(),
            "already applied"
        );
        assert!(is_listed("i-1") && !is_listed("i-2"));
        assert!(entry.gateway.observe(change(known, list(2, &other))).is_ok());
        assert!(is_listed("i-2") && !is_listed("i-1"));
    });
}

/// Guards against sending requests over a connection to an earlier start, when a target restarts
/// with the same id and address.
#[test]
fn a_connection_to_an_earlier_start_is_not_used_for_the_later_one() {
    run_local(async {
        let answers = (0..4).map(|_| (ok_response("done"), AfterAnswer::KeepOpen)).collect();
        let engine = StandIn::start(answers).await;
        let listed_with_birth = |born_ms| Listed {
            start: start_born_at("i-1", born_ms),
            ..target("i-1", "app", engine.address)
        };
        let entry = start_entry(deployment_with_long_timeouts(), vec![listed_with_birth(9)]).await;
        for (id, connections) in [("r1", 1), ("r2", 1)] {
            assert_eq!(entry.call("/safe/a", id).await.status, 200);
            assert_eq!(engine.connections.get(), connections, "the connection is reused");
        }
        let connection =
            entry.gateway.pool.take_idle(&start_born_at("i-1", 9)).expect("an idle connection");
        let roster = VersionedRoster::new(2, Arc::new(roster([listed_with_birth(3)])));
        entry.gateway.observe_roster(roster);
        // A request to the earlier start ends and returns its connection.
        entry.gateway.return_connection(&start_born_at("i-1", 9), connection);
        assert!(entry.gateway.pool.take_idle(&start_born_at("i-1", 9)).is_none());
        assert_eq!(entry.call("/safe/a", "r3").await.status, 200);
        assert_eq!(engine.connections.get(), 2);
        let request = engine.requests.borrow().last().cloned().expect("a request");
        assert_eq!(
            header(&request, "x-expect-instance").as_deref(),
            Some("i-1"),
            "only the id, without the birth time"
        );
    });
}
