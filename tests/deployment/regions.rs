//! Regions that routes and accounts may use.

use std::collections::{BTreeMap, BTreeSet};

use kumquatpost::fleet::Listed;
use kumquatpost::fleet::regions::AllowedDomains;
use kumquatpost::platform::deployment_document;
use kumquatpost::scheduler::store::{Inventory, StoredPart};
use kumquatpost::scheduler::{EndReason, PlacementError, PlacementRequest};
use serde_json::{Value, json};

use crate::fixtures::{address, ms, roster, start, store_start, target};
use crate::gateway::{deployment_with_long_timeouts, ok_response, run_local, start_entry};
use crate::load::{
    end_placement, engines, expect_placed, observe_first_token, placement_request, scheduler,
};
use crate::stand_in::{AfterAnswer, StandIn};

fn names(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(ToString::to_string).collect()
}

fn regions() -> BTreeMap<String, String> {
    [("a", "north"), ("b", "north"), ("c", "south")]
        .map(|(domain, region)| (domain.to_string(), region.to_string()))
        .into()
}

#[test]
fn both_lists_bind_where_both_are_given() {
    let cases: [(&[&str], &[&str], &[&str]); 4] = [
        (&["north"], &[], &["a", "b"]),
        (&["north", "south"], &["south"], &["c"]),
        (&["north"], &["south"], &[]),
        (&["elsewhere"], &[], &[]),
    ];
    for (of_account, of_route, expected) in cases {
        let lists = [names(of_account), names(of_route)];
        let allowed = AllowedDomains::from_regions(&lists, &regions());
        assert_eq!(allowed, AllowedDomains::Only(names(expected)), "{of_account:?} {of_route:?}");
    }
    let unrestricted = AllowedDomains::from_regions(&[names(&[]), names(&[])], &regions());
    assert_eq!(unrestricted, AllowedDomains::All);
}

#[test]
fn documents_name_the_regions_of_routes_and_accounts() {
    let document = |regions: Value| {
        let document = json!({
            "Version": 1,
            "Routes": [{"Name": "r", "Host": "h", "PathPrefix": "/r/", "Kind": "safe",
                        "TimeoutMs": 1000, "Service": "app", "AllowedRegions": regions}],
            "Services": [{"Name": "app"}],
            "Tenants": [{"Name": "t", "ApiKeys": ["k"], "AllowedRegions": ["south"]}]
        });
        deployment_document::decode(document.to_string().as_bytes())
    };
    let deployment = document(json!(["north"])).expect("a valid document");
    assert_eq!(deployment.routes[0].allowed_regions, names(&["north"]));
    assert_eq!(deployment.accounts.expect("accounts")[0].allowed_regions, names(&["south"]));
    for unreadable in [json!("north"), json!([7]), json!({"north": true})] {
        assert!(document(unreadable.clone()).is_err(), "{unreadable}");
    }
}

fn engines_in_domains() -> Vec<Listed> {
    let mut listed = engines(2);
    listed[1].failure_domain = "c".to_string();
    listed
}

#[test]
fn prompts_run_and_fetch_only_in_their_domains() {
    let mut scheduler = scheduler(2);
    scheduler.observe_roster(&roster(engines_in_domains()));
    let request = placement_request(0, 1, 1);
    // The store of the deployment is in domain "a", as is the engine that reads the context first.
    let complete =
        vec![StoredPart { salt: "all/m/1".into(), id: request.parts[0].id.clone(), tokens: 9_100 }];
    let inventory = Inventory { start: store_start(1), complete, ..Inventory::default() };
    scheduler.observe_inventory(address(9_000), inventory, ms(0));
    let only = |domains: &[&str]| PlacementRequest {
        allowed_domains: AllowedDomains::Only(names(domains)),
        ..request.clone()
    };
    let in_a = expect_placed(scheduler.submit(1, only(&["a"]), ms(10)));
    assert_eq!((&in_a.target, in_a.fetch[0]), (&start("i-00"), Some(address(9_000))));
    observe_first_token(&mut scheduler, in_a.ticket, ms(200));
    end_placement(&mut scheduler, in_a.ticket, EndReason::Completed, ms(300));
    let in_c = expect_placed(scheduler.submit(2, only(&["c"]), ms(400)));
    assert_eq!((&in_c.target, in_c.fetch[0], in_c.save[0]), (&start("i-01"), None, None));
    assert_eq!(
        scheduler.submit(3, only(&["b"]), ms(500)),
        Some(Err(PlacementError::NoTargetListed))
    );
}

#[test]
fn an_entry_sends_nothing_outside_the_allowed_regions() {
    run_local(async {
        let answers = vec![(ok_response("done"), AfterAnswer::KeepOpen)];
        let stand_in = StandIn::start(answers).await;
        let mut deployment = deployment_with_long_timeouts();
        deployment.routes[0].allowed_regions = names(&["south"]);
        let listed = Listed { address: stand_in.address, ..target("i-1", "app", address(1)) };
        let entry = start_entry(deployment, vec![listed]).await;
        let refused = entry.call("/once/1", "r-1").await;
        assert_eq!(refused.status, 503, "{refused:?}");
        assert_eq!(stand_in.request_count(), 0);
        assert_eq!(entry.call("/safe/1", "safe-2").await.status, 200, "no other route is affected");
    });
}
