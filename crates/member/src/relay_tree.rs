//! Chooses to whom each gate of a data centre passes on a message that is meant for all of them.
//!
//! A gate that sends a long message to a hundred others itself fills the link of its host. In a tree
//! of bounded width, each gate sends it to a few others only.

use std::net::SocketAddr;

/// Gates to which one gate passes a message on.
const TREE_WIDTH: usize = 4;

/// The gates to which `own` passes on a message that started at `root`, by their addresses.
///
/// `peers` are the gates of the data centre that `own` knows, in any order; `own` and `root` may be
/// missing. Gates that know the same peers build the same tree, in which each gate but the root has
/// one parent. If they differ, some gates get the message twice or not at all.
///
/// ```
/// use std::net::SocketAddr;
/// use ggs_member::relay_children;
///
/// let peers: Vec<SocketAddr> = (1..=9_u16).map(|port| ([10, 0, 0, 1], port).into()).collect();
/// let children = relay_children(&peers, peers[2], peers[2]);
/// assert_eq!(children, [peers[3], peers[4], peers[5], peers[6]]);
/// assert_eq!(relay_children(&peers, peers[2], peers[3]), [peers[7], peers[8], peers[0], peers[1]]);
/// ```
pub fn relay_children(peers: &[SocketAddr], root: SocketAddr, own: SocketAddr) -> Vec<SocketAddr> {
    let mut order = peers.to_vec();
    order.extend([root, own]);
    order.sort_unstable();
    order.dedup();
    let root_index = order.partition_point(|peer| *peer < root);
    order.rotate_left(root_index);
    let position = order.iter().position(|peer| *peer == own);
    let first = position.map_or(order.len(), |position| position * TREE_WIDTH + 1);
    let children = order.into_iter().skip(first).take(TREE_WIDTH);
    children.collect()
}
