//! The HTTP client for the platform's services and for operators' ports.

use std::net::SocketAddr;
use std::time::Duration;

use ureq::config::Config;
use ureq::http::Uri;
use ureq::unversioned::resolver::{DefaultResolver, ResolvedSocketAddrs, Resolver};
use ureq::unversioned::transport::{DefaultConnector, NextTimeout};

/// Creates a client whose calls, including the connection attempt, fail after a
/// timeout.
pub fn http_client(timeout: Duration) -> ureq::Agent {
    let config = ureq::Agent::config_builder().timeout_global(Some(timeout)).build();
    let resolver = AddressResolver::default();
    ureq::Agent::with_parts(config, DefaultConnector::default(), resolver)
}

/// Uses IP addresses as they are and resolves only names.
///
/// The default resolver starts a thread for each call, which costs time and
/// panics when the system can't start another thread.
#[derive(Debug, Default)]
struct AddressResolver {
    names: DefaultResolver,
}

impl Resolver for AddressResolver {
    fn resolve(
        &self,
        uri: &Uri,
        config: &Config,
        timeout: NextTimeout,
    ) -> Result<ResolvedSocketAddrs, ureq::Error> {
        let Some(address) = socket_address(uri) else {
            return self.names.resolve(uri, config, timeout);
        };
        let mut addresses = self.empty();
        addresses.push(address);
        Ok(addresses)
    }
}

fn socket_address(uri: &Uri) -> Option<SocketAddr> {
    DefaultResolver::host_and_port(uri.scheme()?, uri.authority()?)?.parse().ok()
}
