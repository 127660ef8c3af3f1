//! Parsing and formatting of the fleet configuration.

const FULL_CONFIG: &str = "\
[service quotes]
queue = 10

[kind payout]
idempotent = false
weight = 5
deadline-ms = 2000

[tenant shop]
weight = 3

[pool quotes]
selector = service=quotes
spare = true

[budget quotes]
selector = service=quotes, rack!=r-1
max-unavailable = 25%
reserve = 1

[instance q-1]
labels = disk=fast

[team matching]
processors = 12.5
memory-gb = 48
accelerators = 2

[policy]
canary = 3
";

#[test]
fn text_of_a_configuration_reads_as_the_same_configuration() {
    let config = settings::config("whole", FULL_CONFIG).unwrap();
    let text = settings::text(&config);
    assert_eq!(settings::config("text", &text).unwrap(), config, "{text}");
    assert!(!config.teams.is_empty());
}

#[test]
fn every_mistake_is_reported_with_its_place() {
    let text = "[kind payout]\nweight = heavy\nweight = 1\n[team a]\nprocessors = 1\n[pool]\n";
    let findings = settings::config("F", text).unwrap_err().to_string();
    insta::assert_snapshot!(findings);
}
