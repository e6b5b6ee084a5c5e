package org.apricotgauge.bench.soak;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.apricotgauge.model.Checks;
import org.jboss.logging.Logger;

/**
 * A caller's connection to an entry.
 *
 * @param socket the connection
 * @param reader reads its answers
 */
record CallerConnection(Socket socket, HttpReader reader) implements Closeable {
    private static final Logger LOGGER = Logger.getLogger(CallerConnection.class);

    CallerConnection(Socket socket, InputStream in) {
        this(socket, new HttpReader(in));
    }

    OutputStream out() throws IOException {
        return socket.getOutputStream();
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            LOGGER.debugf("a connection was not closed: %s", e);
        }
    }

    /** Idle connections to one entry; the one that has been idle longest is used first. */
    static final class Pool implements Closeable {
        private final Queue<CallerConnection> mIdle = new ConcurrentLinkedQueue<>();

        /** Takes an idle connection out, null if there is none. */
        CallerConnection take() {
            return mIdle.poll();
        }

        void give(CallerConnection connection) {
            mIdle.add(Checks.notNull("connection", connection));
        }

        /** Closes the connections that are idle now. */
        @Override
        public void close() {
            for (CallerConnection idle = take(); idle != null; idle = take()) {
                idle.close();
            }
        }
    }
}
