package org.apricotgauge.http.client;

import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;

/**
 * A connector whose connections report a reset as a failure, not as the end of the stream.
 *
 * <pre>{@code
 * HttpClient client =
 *         new HttpClient(new HttpClientTransportOverHTTP(new ResetDetectingConnector()));
 * }</pre>
 *
 * <p>With another connector, Jetty's client takes a response without a length for complete when its
 * connection is reset.
 */
public final class ResetDetectingConnector extends ClientConnector {
    @Override
    protected EndPoint newEndPoint(
            SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
        return new ResetDetectingEndPoint((SocketChannel) channel, selector, key, getScheduler());
    }
}
