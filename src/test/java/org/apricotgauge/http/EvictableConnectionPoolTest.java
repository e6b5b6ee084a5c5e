package org.apricotgauge.http;

import static org.assertj.core.api.Assertions.assertThatCode;

import java.net.ServerSocket;
import org.eclipse.jetty.client.Destination;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.junit.jupiter.api.Test;

/** Tests closing a connection pool. */
class EvictableConnectionPoolTest {

    @Test
    void removesEntryWithoutConnection() throws Exception {
        // A node stops while a connection to a target is still being opened. The pool then removes
        // an entry without a connection. An exception there aborted the client's stop, seen once in
        // a test of the request path.
        HttpClient client = new HttpClient();
        client.start();
        try (ServerSocket target = new ServerSocket(0)) {
            Request request = client.newRequest("127.0.0.1", target.getLocalPort());
            Destination destination = client.resolveDestination(request);
            EvictableConnectionPool pool = new EvictableConnectionPool(destination, 1);

            assertThatCode(() -> pool.onRemoved(null)).doesNotThrowAnyException();
        } finally {
            client.stop();
        }
    }
}
