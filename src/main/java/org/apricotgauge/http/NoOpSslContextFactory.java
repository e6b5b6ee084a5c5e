package org.apricotgauge.http;

import org.eclipse.jetty.util.ssl.SslContextFactory;

/**
 * A TLS factory that is never asked for a connection, and loads nothing.
 *
 * <p>Each of Jetty's clients builds a TLS context when it starts, with the trust store and all
 * ciphers: a quarter of a node's start by the times at which classes are loaded. The fleet's hops,
 * targets and platform speak plain HTTP.
 */
final class NoOpSslContextFactory extends SslContextFactory.Client {
    @Override
    protected void doStart() {
        // Nothing to load, see above.
    }
}
