package org.apricotgauge.http.client;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * A connection to an upstream that reports a reset as a failure, not as the end of the stream.
 *
 * <p>Jetty treats a reset as the end of the stream. A response without a length ends with its
 * connection, so that a truncated response of a target that crashed would be forwarded as complete.
 * RFC 9112 section 8 calls a response incomplete if its connection closes in error; here the error
 * reaches the HTTP client, which fails the exchange.
 */
final class ResetDetectingEndPoint extends SocketChannelEndPoint {

    ResetDetectingEndPoint(
            SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler timers) {
        super(channel, selector, key, timers);
    }

    @Override
    public int fill(ByteBuffer buffer) throws IOException {
        if (isInputShutdown()) {
            return -1;
        }
        int position = BufferUtil.flipToFill(buffer);
        int filled;
        try {
            filled = getChannel().read(buffer);
        } finally {
            BufferUtil.flipToFlush(buffer, position);
        }
        if (filled > 0) {
            notIdle();
        } else if (filled < 0) {
            shutdownInput();
        }
        return filled;
    }
}
