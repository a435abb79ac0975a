//! The request path: attempts on server connections, deadlines and whole answers.
