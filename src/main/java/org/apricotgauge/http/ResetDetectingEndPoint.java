package org.apricotgauge.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * A connection to an upstream on which a reset is a failure and not an end.
 *
 * <p>Jetty reads a reset as the end of the stream. An answer without a length ends with its
 * connection, so that half an answer of a target that crashed would be passed on as a whole one.
 * RFC 9112 section 8 calls an answer incomplete if its connection closes in error; here the error
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
