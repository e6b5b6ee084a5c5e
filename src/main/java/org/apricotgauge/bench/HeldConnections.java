package org.apricotgauge.bench;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.apricotgauge.model.Address;

/** Many callers' connections, each used once and then kept open. */
final class HeldConnections implements AutoCloseable {
    private static final int READ_TIMEOUT_MILLIS = 10_000;
    private static final int BUFFER_BYTES = 4_096;

    private final List<Socket> mSockets = new ArrayList<>();

    private HeldConnections() {}

    static HeldConnections open(Address entry, int count, String path) throws IOException {
        HeldConnections held = new HeldConnections();
        byte[] request =
                ("GET " + path + " HTTP/1.1\r\nHost: measure\r\nX-Request-Id: held\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII);
        try {
            for (int i = 0; i < count; i++) {
                held.add(entry, request);
            }
            return held;
        } catch (IOException e) {
            held.close();
            throw e;
        }
    }

    private void add(Address entry, byte[] request) throws IOException {
        Socket socket = new Socket(entry.host(), entry.port());
        mSockets.add(socket);
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        socket.getOutputStream().write(request);
        InputStream in = socket.getInputStream();
        if (in.read(new byte[BUFFER_BYTES]) < 0) {
            throw new IOException("entry closed connection " + mSockets.size());
        }
    }

    int count() {
        return mSockets.size();
    }

    @Override
    public void close() {
        for (Socket socket : mSockets) {
            try {
                socket.close();
            } catch (IOException ignored) {
                // Nothing is lost: it is being thrown away.
            }
        }
    }
}
