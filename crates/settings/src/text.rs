//! Formats the fleet configuration as INI text, and compares two configurations.

use super::*;

/// Formats `config` so that parsing the text gives the same configuration.
pub fn text(config: &Config) -> String {
    sections(config).into_iter().map(|(header, body)| format!("[{header}]\n{body}\n")).collect()
}

/// The lines that differ between `old` and `new`, by section; equal sections are left out.
pub fn diff(old: &Config, new: &Config) -> String {
    let (old, new) = (sections(old), sections(new));
    let mut headers: Vec<_> = old.iter().chain(&new).map(|(header, _)| header).collect();
    headers.sort();
    headers.dedup();
    let find = |sections: &[(String, String)], header: &str| {
        let section = sections.iter().find(|(other, _)| other == header);
        section.map(|(_, body)| body.clone())
    };
    let mut lines = String::new();
    for header in headers {
        let (before, after) = (find(&old, header), find(&new, header));
        if before != after {
            lines += &section_diff(header, before.as_deref(), after.as_deref());
        }
    }
    lines
}

fn section_diff(header: &str, before: Option<&str>, after: Option<&str>) -> String {
    let sign = match (before, after) {
        (None, _) => '+',
        (_, None) => '-',
        _ => ' ',
    };
    let (before, after) = (before.unwrap_or_default(), after.unwrap_or_default());
    let mut lines = format!("{sign}[{header}]\n");
    for line in before.lines().filter(|line| !after.lines().any(|other| other == *line)) {
        lines += &format!("-{line}\n");
    }
    for line in after.lines().filter(|line| !before.lines().any(|other| other == *line)) {
        lines += &format!("+{line}\n");
    }
    lines
}

/// Header and body of every section.
fn sections(config: &Config) -> Vec<(String, String)> {
    let mut sections = Vec::new();
    let mut add = |header: String, body: String| sections.push((header, body));
    for (name, service) in &config.services {
        add(format!("service {name}"), format!("queue = {}\n", service.queue));
    }
    for (name, kind) in &config.kinds {
        add(format!("kind {name}"), kind_body(kind));
    }
    for (name, tenant) in &config.tenants {
        add(format!("tenant {name}"), format!("weight = {}\n", tenant.weight));
    }
    for (name, pool) in &config.pools {
        add(format!("pool {name}"), pool_body(pool));
    }
    for (name, budget) in &config.budgets {
        add(format!("budget {name}"), budget_body(budget));
    }
    for (name, instance) in &config.instances {
        add(format!("instance {name}"), format!("labels = {}\n", instance.labels));
    }
    for (name, team) in &config.teams {
        add(format!("team {name}"), teams::body(team.quota));
    }
    if config.policy != Policy::default() {
        add("policy".into(), policy_body(&config.policy));
    }
    sections
}

fn kind_body(kind: &Kind) -> String {
    let Kind { idempotent, weight, deadline } = kind;
    let deadline = deadline.as_millis();
    format!("idempotent = {idempotent}\nweight = {weight}\ndeadline-ms = {deadline}\n")
}

fn pool_body(pool: &Pool) -> String {
    let service = pool.service.as_ref().map(|service| format!("service = {service}\n"));
    let service = service.unwrap_or_default();
    format!("selector = {}\nspare = {}\n{service}", pool.selector, pool.spare)
}

fn budget_body(budget: &Budget) -> String {
    let Budget { selector, max_unavailable, reserve } = budget;
    format!("selector = {selector}\nmax-unavailable = {max_unavailable}\nreserve = {reserve}\n")
}

fn policy_body(policy: &Policy) -> String {
    let time = |key: &str, time: Duration| format!("{key} = {}\n", time.as_millis());
    let count = |key: &str, count: u32| format!("{key} = {count}\n");
    [
        count("canary", policy.canary),
        count("max-failures", policy.max_failures),
        time("drain-timeout-ms", policy.drain_timeout),
        time("return-timeout-ms", policy.return_timeout),
        time("soak-ms", policy.soak),
        time("period-ms", policy.period),
        count("buffer-weight", policy.buffer_weight),
        count("rollout-weight", policy.rollout_weight),
        count("moves-weight", policy.moves_weight),
    ]
    .concat()
}
