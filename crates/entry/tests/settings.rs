//! Valid and invalid settings files and questionnaires.

use std::fs;
use std::path::{Path, PathBuf};
use std::time::Duration;

use arbutuspick_entry::{CallerRole, Settings, read_questionnaire};

const GOOD: &str = "\
vm: trent-1
data_centre: trent
http_listen: 127.0.0.1:18101
peer_listen: 127.0.0.1:18201
platform: 127.0.0.1:18000
entry_vms: 3
peers:
  - {name: trent-2, data_centre: trent, address: '127.0.0.1:18202'}
  - {name: severn-1, data_centre: severn, address: '127.0.0.1:18203'}
services: [booking]
tokens:
  - {account: parks, sha256: 9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08}
  - {operator: nia, sha256: 60303ae22b998861bce3b28f33eec1be758a213c86c93c076dbe9f558c11c752}
limits: {balancer_lag_ms: 1500}
";

fn examples() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples")
}

/// Guards against settings that are parsed into a wrong unit or role.
#[test]
fn values_checked() {
    let settings = Settings::from_yaml(GOOD).unwrap();
    assert_eq!(settings.limits.balancer_lag, Duration::from_millis(1500));
    assert_eq!(settings.data_centres().len(), 2);
    assert_eq!(
        settings.auth.role_of("test").unwrap().to_string(),
        "account:parks"
    );
    assert!(matches!(
        settings.auth.role_of("test2"),
        Some(CallerRole::Operator(_))
    ));
    assert_eq!(settings.auth.role_of("account:parks"), None);
}

/// Guards against an error without the field, the value and the rule.
#[yare::parameterized(
    vm_name = { "vm: trent-1", "vm: Trent_1", &["\"vm\"", "Trent_1", "a-z"] },
    long_name = { "data_centre: trent\nhttp", "data_centre: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\nhttp", &["\"data_centre\"", "aaaa", "63"] },
    host_name = { "127.0.0.1:18000", "platform:18000", &["\"platform\"", "platform:18000", "IP number"] },
    no_port = { "127.0.0.1:18101", "127.0.0.1", &["\"http_listen\"", "127.0.0.1", "port"] },
    same_port = { "127.0.0.1:18201", "127.0.0.1:18101", &["\"peer_listen\"", "18101", "differ"] },
    own_peer = { "name: trent-2", "name: trent-1", &["\"peers[0].name\"", "trent-1", "one VM"] },
    twin_peer = { "name: severn-1", "name: trent-2", &["\"peers[1].name\"", "trent-2", "one VM"] },
    twin_address = { "127.0.0.1:18203", "127.0.0.1:18202", &["\"peers[1].address\"", "18202", "one VM"] },
    own_address = { "127.0.0.1:18203", "127.0.0.1:18201", &["\"peers[1].address\"", "18201", "peer_listen"] },
    few_vms = { "entry_vms: 3", "entry_vms: 2", &["\"entry_vms\"", "\"2\"", "from 3"] },
    many_vms = { "entry_vms: 3", "entry_vms: 65", &["\"entry_vms\"", "\"65\"", "to 64"] },
    no_service = { "[booking]", "[]", &["\"services\"", "[]", "at least one"] },
    twin_service = { "[booking]", "[booking, booking]", &["\"services[1]\"", "booking", "once"] },
    auth_word = { "entry_vms: 3", "entry_vms: 3\nauth: none", &["\"auth\"", "none", "off"] },
    auth_both = { "entry_vms: 3", "entry_vms: 3\nauth: off", &["\"auth\"", "off", "tokens"] },
    short_digest = { "9f86d081", "9f86", &["\"tokens[0].sha256\"", "9f86884c", "64 hexadecimal"] },
    twin_digest = { "60303ae22b998861bce3b28f33eec1be758a213c86c93c076dbe9f558c11c752", "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08", &["\"tokens[1].sha256\"", "9f86d081", "once"] },
    two_roles = { "account: parks", "account: parks, owner: ada", &["\"tokens[0].account\"", "parks", "only one"] },
    no_role = { "account: parks, ", "", &["\"tokens[0].account\"", "present"] },
    log_level = { "entry_vms: 3", "entry_vms: 3\nlog_level: loud", &["\"log_level\"", "loud", "debug"] },
    long_lag = { "1500", "2001", &["\"limits.balancer_lag_ms\"", "2001", "from 1 to 2000"] },
    zero_lag = { "1500", "0", &["\"limits.balancer_lag_ms\"", "\"0\"", "from 1"] },
    unknown_field = { "entry_vms: 3", "entry_vms: 3\ncolour: red", &["colour", "unknown field"] },
    unknown_limit = { "balancer_lag_ms", "balancer_lag", &["limits", "balancer_lag", "unknown field"] },
    missing_field = { "vm: trent-1\n", "", &["vm", "missing"] },
    wrong_type = { "entry_vms: 3", "entry_vms: many", &["entry_vms", "many", "u32"] },
    twin_owner = { "entry_vms: 3", "entry_vms: 3\nowners: [ada, ada]", &["\"owners[1]\"", "ada", "once"] },
    no_yaml = { "vm: trent-1", "vm: [", &["line"] },
)]
fn refusal_names_field(from: &str, to: &str, parts: &[&str]) {
    assert!(GOOD.contains(from));
    let error = Settings::from_yaml(&GOOD.replacen(from, to, 1))
        .unwrap_err()
        .to_string();
    for part in parts {
        assert!(error.contains(part), "{error:?} does not contain {part:?}");
    }
}

/// Guards against a daemon without authentication because the tokens were omitted by mistake.
#[test]
fn auth_stated() {
    let (open, _) = GOOD.split_once("tokens:").unwrap();
    let error = Settings::from_yaml(open).unwrap_err().to_string();
    assert!(error.contains("\"tokens\""), "{error}");
    let settings = Settings::from_yaml(&format!("{open}auth: off\n")).unwrap();
    assert_eq!(
        settings.auth.role_of("operator:nia").unwrap().to_string(),
        "operator:nia"
    );
    assert_eq!(settings.auth.role_of("nia"), None);
}

/// Guards against example settings that are invalid or inconsistent with each other.
#[yare::parameterized(midlands = { "midlands" }, nordeste = { "nordeste" })]
fn examples_valid(deployment: &str) {
    let mut vms = Vec::new();
    for entry in fs::read_dir(examples().join(deployment)).unwrap() {
        let path = entry.unwrap().path();
        if path
            .file_name()
            .unwrap()
            .to_str()
            .unwrap()
            .starts_with("questionnaire-")
        {
            read_questionnaire(&path)
                .unwrap()
                .generate_config()
                .check()
                .unwrap();
        } else {
            vms.push(Settings::from_file(&path).unwrap());
        }
    }
    assert_eq!(vms.len(), 7);
    for settings in &vms {
        assert_eq!(settings.data_centres().len(), 3);
        assert!(settings.platform.ip().is_loopback() && settings.http_listen.ip().is_loopback());
        let others = vms.iter().filter(|other| other.vm != settings.vm);
        let listed = others.filter(|other| {
            let found = settings.peers.iter().find(|peer| peer.vm == other.vm);
            found.is_some_and(|peer| {
                peer.address == other.peer_listen && peer.data_centre == other.data_centre
            })
        });
        assert_eq!(listed.count(), 6);
        assert_eq!(settings.auth, vms[0].auth);
    }
}

/// Guards against answers in a questionnaire that are missing in the generated configuration.
#[test]
fn questionnaire_generates() {
    let path = examples().join("nordeste/questionnaire-crown-outlines.yaml");
    let request = read_questionnaire(&path).unwrap();
    let config = request.generate_config();
    assert_eq!(
        (request.account.as_str(), config.weight, config.max_queued_jobs),
        ("crown-outlines", 200, 300)
    );
    let cells = config
        .guarantees
        .iter()
        .map(|guarantee| (guarantee.cell.accelerators(), guarantee.count));
    assert_eq!(cells.collect::<Vec<_>>(), [(64, 1), (32, 1), (1, 4)]);
}
