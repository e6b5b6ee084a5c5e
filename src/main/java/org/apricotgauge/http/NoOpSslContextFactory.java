package org.apricotgauge.http;

import org.eclipse.jetty.util.ssl.SslContextFactory;

/**
 * A TLS context factory that loads nothing, since no connection uses TLS.
 *
 * <p>Each of Jetty's clients builds a TLS context when it starts, with the trust store and all
 * ciphers. By the times at which classes are loaded, this is a quarter of a node's start. The
 * fleet's hops, targets and platform use plain HTTP.
 */
public final class NoOpSslContextFactory extends SslContextFactory.Client {
    @Override
    protected void doStart() {
        // Nothing to load; see above.
    }
}
