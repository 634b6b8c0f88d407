//! The entry daemon: settings, HTTP API and the loops that join decisions with clients.
