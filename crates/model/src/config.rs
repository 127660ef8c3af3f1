use super::*;

/// What operators want of the fleet: one whole, replaced as one whole.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// Services that callers may call.
    pub services: BTreeMap<Name, Service>,
    /// Kinds of request.
    pub kinds: BTreeMap<Name, Kind>,
    /// Tenants with their shares.
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
    /// How the fleet is maintained and spare instances are used.
    pub policy: Policy,
}

impl Config {
    /// Longest name of anything, in bytes.
    pub const MAX_NAME_BYTES: usize = 63;
}
