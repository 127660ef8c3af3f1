//! Key files of daemons, and access tokens of operators.

#![allow(clippy::unwrap_used)]

use {
    bench::{Fleet, Program, wait_until},
    std::os::unix::fs::PermissionsExt,
};

/// Exit code and output of the command-line tool.
fn run(arguments: &[&str]) -> (Option<i32>, String) {
    let output = Program::output("sardinevalve", arguments).unwrap();
    let text = [output.stdout, output.stderr].concat();
    (output.status.code(), String::from_utf8(text).unwrap())
}

#[test]
fn existing_keys_are_never_replaced_by_issue() {
    let fleet = Fleet::new(1, 1).unwrap();
    let folder = fleet.folder().join("keys").display().to_string();
    let (code, text) = run(&["keys", "issue", &folder, "daemon-1"]);
    assert_eq!(code, Some(1));
    let expected =
        format!("error: cannot access `{folder}/daemon-1.key`: File exists (os error 17)\n");
    assert_eq!(text, expected);
}

#[test]
fn key_file_open_to_others_stops_the_daemon_with_a_reason() {
    let mut fleet = Fleet::new(1, 1).unwrap();
    let key = fleet.folder().join("keys/daemon-1.key");
    std::fs::set_permissions(&key, std::fs::Permissions::from_mode(0o644)).unwrap();
    fleet.daemons[0].start().unwrap();
    assert_eq!(fleet.daemons[0].program().unwrap().wait().unwrap(), Some(1));
    let log = std::fs::read_to_string(fleet.folder().join("daemon-1.log")).unwrap();
    assert!(log.contains("is open to others: allow only its owner to read it"), "{log}");
}

#[test]
fn renewed_keys_are_used_without_a_restart() {
    let mut fleet = Fleet::new(3, 3).unwrap();
    fleet.start().unwrap();
    let folder = fleet.folder().join("keys").display().to_string();
    let certificate = format!("{folder}/daemon-2.pem");
    let before = run(&["keys", "show", &certificate]).1;
    assert_eq!(run(&["keys", "renew", &folder, "daemon-2"]).0, Some(0));
    assert_ne!(run(&["keys", "show", &certificate]).1, before);
    let log = fleet.folder().join("daemon-2.log");
    wait_until("the new keys are in use", || {
        std::fs::read_to_string(&log).unwrap().contains("new keys are in use")
    })
    .unwrap();
    fleet.daemons[0].kill();
    fleet.daemons[0].start().unwrap();
    fleet.wait_healthy().unwrap();
}

#[test]
fn daemon_of_another_authority_is_refused() {
    let mut fleet = Fleet::new(3, 3).unwrap();
    fleet.start().unwrap();
    fleet.daemons[2].kill();
    let foreign = fleet.folder().join("foreign").display().to_string();
    run(&["keys", "init", &foreign]);
    run(&["keys", "issue", &foreign, "daemon-3"]);
    for file in ["daemon-3.pem", "daemon-3.key", "authority.pem"] {
        let keys = fleet.folder().join("keys");
        if file == "authority.pem" {
            let settings = fleet.folder().join("daemon-3.ini");
            let text = std::fs::read_to_string(&settings).unwrap();
            std::fs::write(&settings, text.replace("keys/authority", "foreign/authority")).unwrap();
        } else {
            std::fs::copy(fleet.folder().join("foreign").join(file), keys.join(file)).unwrap();
        }
    }
    fleet.daemons[2].start().unwrap();
    wait_until("the others agree without it", || {
        fleet.daemons[..2].iter().all(bench::Daemon::healthy)
    })
    .unwrap();
    assert!(!fleet.daemons[2].healthy());
}

#[test]
fn operators_without_a_valid_token_are_refused() {
    let mut fleet = Fleet::with_settings(1, 1, "[operators]\ntokens = FOLDER/tokens\n").unwrap();
    let (tokens, token) = (fleet.folder().join("tokens"), fleet.folder().join("token"));
    std::fs::write(&tokens, "ada 0123456789abcdef\n").unwrap();
    std::fs::write(&token, "0123456789abcdef\n").unwrap();
    std::fs::set_permissions(&tokens, std::fs::Permissions::from_mode(0o600)).unwrap();
    fleet.start().unwrap();
    let refused = fleet.daemons[0].operate(&["get"]).unwrap();
    assert_eq!(refused.status.code(), Some(1));
    let error = String::from_utf8(refused.stderr).unwrap();
    assert!(error.ends_with("refused: a valid token is needed\n"), "{error}");
    let file = token.display().to_string();
    let allowed = fleet.daemons[0].operate(&["--token-file", &file, "get"]).unwrap();
    assert_eq!(allowed.status.code(), Some(0));
}
