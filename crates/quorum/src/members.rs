use super::*;

/// The membership: all voters and observers by name.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members(BTreeMap<Name, Member>);

impl Members {
    /// The member called `name`.
    pub fn get(&self, name: &Name) -> Option<Member> {
        self.0.get(name).copied()
    }

    /// All members by name.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, Member)> {
        self.0.iter().map(|(name, member)| (name, *member))
    }

    /// Names of the voters.
    pub fn voters(&self) -> impl Iterator<Item = &Name> {
        self.iter().filter(|(_, member)| member.role == Role::Voter).map(|(name, _)| name)
    }

    /// Whether `name` is a voter.
    pub fn is_voter(&self, name: &Name) -> bool {
        self.get(name).is_some_and(|member| member.role == Role::Voter)
    }

    /// Number of voters in a majority.
    pub fn majority(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Whether the cluster has been bootstrapped: the first log entry records the voters' disks.
    pub fn is_bootstrapped(&self) -> bool {
        self.0.values().any(|member| member.disk.is_some())
    }

    /// Whether votes and acknowledgements of `name` from `disk` count towards a majority: it is a
    /// voter, and `disk` is the one recorded in the membership.
    pub fn is_admitted_voter(&self, name: &Name, disk: Option<DiskId>) -> bool {
        let Some(member) = self.get(name) else { return false };
        member.role == Role::Voter && member.disk.is_some() && member.disk == disk
    }

    /// The same members, with the disks of the voters filled in.
    pub(crate) fn with_voter_disks(&self, disks: &BTreeMap<Name, DiskId>) -> Self {
        let member = |(name, member): (&Name, Member)| {
            let disk = disks.get(name).copied();
            (name.clone(), Member { disk, ..member })
        };
        Self(self.iter().map(member).collect())
    }

    /// The same members with `name` replaced, or removed if `member` is `None`.
    pub(crate) fn with_member(&self, name: &Name, member: Option<Member>) -> Self {
        let mut members = self.0.clone();
        match member {
            Some(member) => members.insert(name.clone(), member),
            None => members.remove(name),
        };
        Self(members)
    }
}

impl From<BTreeMap<Name, Role>> for Members {
    fn from(roles: BTreeMap<Name, Role>) -> Self {
        let member = |(name, role)| (name, Member { role, disk: None });
        Self(roles.into_iter().map(member).collect())
    }
}

impl FromIterator<(Name, Member)> for Members {
    fn from_iter<T: IntoIterator<Item = (Name, Member)>>(members: T) -> Self {
        Self(members.into_iter().collect())
    }
}
