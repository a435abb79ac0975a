//! Live gates, leaving servers and entry answers.
