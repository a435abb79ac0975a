//! Messages between gates and the framed connections that carry them.
