//! The workspaces of a configuration, by their keys.

use std::fmt;
use std::rc::Rc;
use std::sync::Arc;

use foldhash::{HashMap, HashMapExt, HashSet, HashSetExt};
use ggs_limit::QuotaRule;

use crate::KeyDigest;

/// A workspace as its operator configured it.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkspaceRule {
    /// Name, which servers are told.
    pub name: Arc<str>,
    /// Digests of its keys.
    pub keys: Vec<KeyDigest>,
    /// Priority of its requests, 0 for the most urgent; `None` if that of their routes holds.
    pub priority: Option<u32>,
    /// Requests that it may send; `None` if there is no limit.
    pub quota: Option<QuotaRule>,
}

/// A workspace that callers belong to.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// Name, which servers are told.
    pub name: Arc<str>,
    /// Priority of its requests, 0 for the most urgent; `None` if that of their routes holds.
    pub priority: Option<u32>,
    /// Requests that it may send; `None` if there is no limit.
    pub quota: Option<QuotaRule>,
}

/// Why workspaces cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AccessError {
    /// Two workspaces have the same name.
    SameName {
        /// The name.
        name: Arc<str>,
    },
    /// A key belongs to two workspaces, or twice to the same.
    SharedKey {
        /// The workspace with the second use of the key.
        name: Arc<str>,
        /// The first bytes of the key's digest.
        fingerprint: String,
    },
}

impl fmt::Display for AccessError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::SameName { name } => write!(formatter, "workspace {name:?} is listed twice"),
            Self::SharedKey { name, fingerprint } => write!(
                formatter,
                "workspace {name:?}: the key with fingerprint {fingerprint} is listed twice"
            ),
        }
    }
}

impl std::error::Error for AccessError {}

/// The workspaces of one configuration.
///
/// ```
/// use ggs_access::{AccessTable, KeyDigest, WorkspaceRule};
///
/// let rule = WorkspaceRule {
///     name: "weighing".into(),
///     keys: vec![KeyDigest::of(b"abc")],
///     priority: None,
///     quota: None,
/// };
/// let table = AccessTable::new(vec![rule]).unwrap();
/// assert_eq!(&*table.find(&KeyDigest::of(b"abc")).unwrap().name, "weighing");
/// assert!(table.find(&KeyDigest::of(b"abd")).is_none());
/// ```
#[derive(Clone, Debug)]
pub struct AccessTable {
    workspaces: HashMap<KeyDigest, Rc<Workspace>>,
    names: HashMap<Arc<str>, Rc<Workspace>>,
}

impl AccessTable {
    /// Builds the table.
    ///
    /// # Errors
    ///
    /// Fails if a name or a key is listed twice.
    pub fn new(rules: Vec<WorkspaceRule>) -> Result<Self, AccessError> {
        check_rules(&rules)?;
        let mut workspaces = HashMap::new();
        let mut names = HashMap::with_capacity(rules.len());
        for rule in rules {
            let workspace = Rc::new(Workspace {
                name: rule.name,
                priority: rule.priority,
                quota: rule.quota,
            });
            let keys = rule.keys.into_iter();
            workspaces.extend(keys.map(|key| (key, Rc::clone(&workspace))));
            names.insert(Arc::clone(&workspace.name), workspace);
        }
        Ok(Self { workspaces, names })
    }

    /// The workspace with this key.
    pub fn find(&self, key: &KeyDigest) -> Option<&Rc<Workspace>> {
        self.workspaces.get(key)
    }

    /// The workspace with this name.
    pub fn named(&self, name: &str) -> Option<&Rc<Workspace>> {
        self.names.get(name)
    }

    /// All workspaces, in no particular order.
    pub fn workspaces(&self) -> impl Iterator<Item = &Rc<Workspace>> {
        self.names.values()
    }
}

/// Checks that no name and no key is listed twice.
fn check_rules(rules: &[WorkspaceRule]) -> Result<(), AccessError> {
    let mut names = HashSet::with_capacity(rules.len());
    let mut keys = HashSet::new();
    for rule in rules {
        let name = || Arc::clone(&rule.name);
        if !names.insert(&rule.name) {
            return Err(AccessError::SameName { name: name() });
        }
        if let Some(key) = rule.keys.iter().find(|key| !keys.insert(**key)) {
            return Err(AccessError::SharedKey {
                name: name(),
                fingerprint: key.fingerprint(),
            });
        }
    }
    Ok(())
}
