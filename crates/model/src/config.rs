use super::*;

/// Fleet configuration that operators apply. It is always replaced as a whole.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// Services that callers may call.
    pub services: BTreeMap<Name, Service>,
    /// Kinds of requests.
    pub kinds: BTreeMap<Name, Kind>,
    /// Tenants with their weights.
    pub tenants: BTreeMap<Name, Tenant>,
    /// Pools of instances.
    pub pools: BTreeMap<Name, Pool>,
    /// Availability budgets.
    pub budgets: BTreeMap<Name, Budget>,
    /// Labels that operators give to instances.
    pub instances: BTreeMap<Name, Instance>,
    /// Teams with their quotas.
    #[serde(default)]
    pub teams: BTreeMap<Name, Team>,
    /// Settings for maintenance waves and for the use of spare instances.
    pub policy: Policy,
}

impl Config {
    /// Maximum length of a name, in bytes.
    pub const MAX_NAME_BYTES: usize = 63;
}
