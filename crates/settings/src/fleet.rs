use super::*;

/// Default of `queue` of a service.
const DEFAULT_QUEUE_REQUESTS: u32 = 1024;

/// Default of `deadline-ms` of a kind.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(5);

/// Default of `weight` of a kind or tenant.
const DEFAULT_WEIGHT: u32 = 1;

pub(crate) fn read(document: &Document) -> Result<Config> {
    let mut config = Config::default();
    let mut findings = document.findings.clone();
    for section in &document.sections {
        let mut reader = Reader::new(document, section, &mut findings);
        match section.kind.as_str() {
            "service" => insert(&mut config.services, reader.name(), service(&mut reader)),
            "kind" => insert(&mut config.kinds, reader.name(), kind(&mut reader)),
            "tenant" => insert(&mut config.tenants, reader.name(), tenant(&mut reader)),
            "pool" => insert(&mut config.pools, reader.name(), pool(&mut reader)),
            "budget" => insert(&mut config.budgets, reader.name(), budget(&mut reader)),
            "policy" => config.policy = policy(&mut reader),
            "instance" => insert(&mut config.instances, reader.name(), instance(&mut reader)),
            "team" => insert(&mut config.teams, reader.name(), teams::team(&mut reader)),
            _ => {
                reader.unknown_section();
                continue;
            }
        }
        reader.finish();
    }
    Findings::into_result(findings, Some(config))
}

pub(crate) fn insert<T>(map: &mut BTreeMap<Name, T>, name: Option<Name>, value: Option<T>) {
    if let (Some(name), Some(value)) = (name, value) {
        map.insert(name, value);
    }
}

fn service(reader: &mut Reader) -> Option<Service> {
    Some(Service { queue: reader.optional("queue").unwrap_or(DEFAULT_QUEUE_REQUESTS) })
}

fn kind(reader: &mut Reader) -> Option<Kind> {
    Some(Kind {
        idempotent: reader.optional("idempotent").unwrap_or(false),
        weight: reader.optional("weight").unwrap_or(DEFAULT_WEIGHT),
        deadline: reader.milliseconds("deadline-ms").unwrap_or(DEFAULT_DEADLINE),
    })
}

fn tenant(reader: &mut Reader) -> Option<Tenant> {
    Some(Tenant { weight: reader.optional("weight").unwrap_or(DEFAULT_WEIGHT) })
}

fn pool(reader: &mut Reader) -> Option<Pool> {
    let selector = reader.required("selector");
    let spare = reader.optional("spare").unwrap_or(false);
    let service = reader.optional::<String>("service").map(Into::into);
    Some(Pool { selector: selector?, spare, service })
}

fn budget(reader: &mut Reader) -> Option<Budget> {
    let selector = reader.required::<Selector>("selector");
    let max_unavailable = reader.required("max-unavailable");
    let reserve = reader.optional("reserve").unwrap_or(model::Quota::Count(0));
    Some(Budget { selector: selector?, max_unavailable: max_unavailable?, reserve })
}

fn policy(reader: &mut Reader) -> Policy {
    let default = Policy::default();
    let mut time = |key, default| reader.milliseconds(key).unwrap_or(default);
    let drain_timeout = time("drain-timeout-ms", default.drain_timeout);
    let return_timeout = time("return-timeout-ms", default.return_timeout);
    let soak = time("soak-ms", default.soak);
    let period = time("period-ms", default.period);
    let mut count = |key, default| reader.optional(key).unwrap_or(default);
    Policy {
        canary: count("canary", default.canary),
        max_failures: count("max-failures", default.max_failures),
        buffer_weight: count("buffer-weight", default.buffer_weight),
        rollout_weight: count("rollout-weight", default.rollout_weight),
        moves_weight: count("moves-weight", default.moves_weight),
        drain_timeout,
        return_timeout,
        soak,
        period,
    }
}

fn instance(reader: &mut Reader) -> Option<Instance> {
    let labels = reader.required::<Labels>("labels");
    Some(Instance { labels: labels? })
}
